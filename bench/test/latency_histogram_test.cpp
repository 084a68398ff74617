#include "latency_histogram.hpp"

#include <boost/test/unit_test.hpp>

using lovagemoor::bench::latency_histogram;
using std::chrono::microseconds;

BOOST_AUTO_TEST_SUITE(latency_histogram_test)

// Guards against a quantile other than 0 in the results of a run without answers.
BOOST_AUTO_TEST_CASE(empty_histogram_has_no_quantile) {
    const latency_histogram histogram;
    BOOST_TEST(histogram.count() == 0U);
    BOOST_TEST(histogram.quantile(0.99).count() == 0);
}

// Guards against a quantile that is below the exact value, or above it by more than the bin width
// of 1.4%.
BOOST_AUTO_TEST_CASE(quantiles_lie_within_one_bin) {
    latency_histogram histogram;
    for (int value = 1; value <= 1000; ++value) {
        histogram.add(microseconds{value * 100});
    }
    for (const double share : {0.01, 0.5, 0.9, 0.99, 1.0}) {
        const double exact = share * 100'000;
        const double reported = static_cast<double>(histogram.quantile(share).count());
        BOOST_TEST(reported >= exact);
        BOOST_TEST(reported <= exact * 1.015 + 1);
    }
    BOOST_TEST(histogram.largest().count() == 100'000);
}

// Guards against quantiles that leave out latencies outside the axis of 10 us to 100 s.
BOOST_AUTO_TEST_CASE(quantiles_include_latencies_outside_the_axis) {
    latency_histogram histogram;
    histogram.add(microseconds{0});
    histogram.add(microseconds{1'000});
    histogram.add(std::chrono::seconds{500});
    BOOST_TEST(histogram.quantile(0.3).count() <= 10);
    BOOST_TEST(histogram.quantile(1).count() == 500'000'000);
}

BOOST_AUTO_TEST_SUITE_END()
