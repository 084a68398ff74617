#include "arrivals.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using lovagemoor::bench::draw_arrivals;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 11;

} // namespace

BOOST_AUTO_TEST_SUITE(arrivals_test)

// Guards against a number of arrivals that does not match the requested rate. The number has a
// Poisson distribution; a deviation of 5 standard deviations is allowed.
BOOST_AUTO_TEST_CASE(constant_rate_gives_expected_number_of_arrivals) {
    std::mt19937_64 random{seed};
    const std::vector<microseconds> times =
        draw_arrivals([](microseconds) { return 500.0; }, 500, seconds{20}, random);
    BOOST_TEST(std::abs(static_cast<double>(times.size()) - 10'000) < 500);
    BOOST_TEST(std::is_sorted(times.begin(), times.end()));
    BOOST_TEST((times.back() < seconds{20}));
}

// Guards against thinning that ignores how the rate changes with time.
BOOST_AUTO_TEST_CASE(arrivals_follow_varying_rate) {
    std::mt19937_64 random{seed};
    const std::vector<microseconds> times =
        draw_arrivals([](microseconds at) { return at < seconds{10} ? 100.0 : 1000.0; }, 1000,
                      seconds{20}, random);
    const auto first_half = static_cast<double>(
        std::lower_bound(times.begin(), times.end(), microseconds{seconds{10}}) - times.begin());
    BOOST_TEST(std::abs(first_half - 1'000) < 160);
    BOOST_TEST(std::abs(static_cast<double>(times.size()) - first_half - 10'000) < 500);
}

// Guards against a run that cannot be repeated with its printed seed. Also checks that a peak rate
// of 0 gives no arrivals.
BOOST_AUTO_TEST_CASE(same_seed_gives_same_arrivals) {
    std::mt19937_64 first{seed};
    std::mt19937_64 second{seed};
    const auto rate = [](microseconds) { return 50.0; };
    BOOST_TEST((draw_arrivals(rate, 50, seconds{5}, first) ==
                draw_arrivals(rate, 50, seconds{5}, second)));
    BOOST_TEST(draw_arrivals(rate, 0, seconds{5}, first).empty());
}

BOOST_AUTO_TEST_SUITE_END()
