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

// Guards against a rate that differs from the one asked for; 5 standard deviations are allowed.
BOOST_AUTO_TEST_CASE(constant_rate_gives_its_number_of_arrivals) {
    std::mt19937_64 random{seed};
    const std::vector<microseconds> times =
        draw_arrivals([](microseconds) { return 500.0; }, 500, seconds{20}, random);
    BOOST_TEST(std::abs(static_cast<double>(times.size()) - 10'000) < 500);
    BOOST_TEST(std::is_sorted(times.begin(), times.end()));
    BOOST_TEST((times.back() < seconds{20}));
}

// Guards against thinning that ignores the time.
BOOST_AUTO_TEST_CASE(varying_rate_is_followed) {
    std::mt19937_64 random{seed};
    const std::vector<microseconds> times =
        draw_arrivals([](microseconds at) { return at < seconds{10} ? 100.0 : 1000.0; }, 1000,
                      seconds{20}, random);
    const auto first_half = static_cast<double>(
        std::lower_bound(times.begin(), times.end(), microseconds{seconds{10}}) - times.begin());
    BOOST_TEST(std::abs(first_half - 1'000) < 160);
    BOOST_TEST(std::abs(static_cast<double>(times.size()) - first_half - 10'000) < 500);
}

// Guards against runs that cannot be repeated from their printed seed.
BOOST_AUTO_TEST_CASE(same_seed_gives_same_arrivals) {
    std::mt19937_64 first{seed};
    std::mt19937_64 second{seed};
    const auto rate = [](microseconds) { return 50.0; };
    BOOST_TEST((draw_arrivals(rate, 50, seconds{5}, first) ==
                draw_arrivals(rate, 50, seconds{5}, second)));
    BOOST_TEST(draw_arrivals(rate, 0, seconds{5}, first).empty());
}

BOOST_AUTO_TEST_SUITE_END()
