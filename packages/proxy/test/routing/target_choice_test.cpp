#include <lovagemoor/proxy/routing/target_choice.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

read_candidate candidate(const char* id, core::duration latency, unsigned in_use = 0) {
    read_candidate made;
    made.target = core::target_id{id};
    made.mean_latency = latency;
    made.in_use = in_use;
    made.slots = 2;
    made.same_domain = true;
    made.connected = true;
    return made;
}

read_candidate primary(read_candidate made) {
    made.primary = true;
    return made;
}

read_candidate remote(read_candidate made) {
    made.same_domain = false;
    return made;
}

read_candidate unconnected(read_candidate made) {
    made.connected = false;
    return made;
}

read_candidate avoided(read_candidate made) {
    made.avoided = true;
    return made;
}

read_candidate full(read_candidate made) {
    made.full = true;
    return made;
}

struct choice_case {
    const char* name;
    std::vector<read_candidate> candidates;
    /// Empty if no target can be chosen.
    std::string expected;

    friend std::ostream& operator<<(std::ostream& output, const choice_case& value) {
        return output << value.name;
    }
};

const std::vector<choice_case> cases{
    {"the faster target", {candidate("a", 30ms), candidate("b", 20ms)}, "b"},
    {"the target in the same failure domain",
     {remote(candidate("a", 20ms)), candidate("b", 20ms)},
     "b"},
    {"a replica as fast as the primary",
     {primary(candidate("a", 20ms)), candidate("b", 20ms)},
     "b"},
    {"the primary if replicas are much slower",
     {primary(candidate("a", 20ms)), candidate("b", 40ms)},
     "a"},
    {"a connected target", {unconnected(candidate("a", 20ms)), candidate("b", 25ms)}, "b"},
    {"the less loaded target", {candidate("a", 20ms, 4), candidate("b", 30ms)}, "b"},
    {"no target that refused recently", {avoided(candidate("a", 20ms)), candidate("b", 90ms)}, "b"},
    {"no target without a free connection",
     {full(candidate("a", 20ms)), candidate("b", 90ms)},
     "b"},
    {"none", {full(candidate("a", 20ms)), avoided(candidate("b", 20ms))}, ""},
};

} // namespace

// Guards against reads that queue at a busy, remote or refusing target while another one is free.
BOOST_DATA_TEST_CASE(read_goes_to_the_least_expected_time, boost::unit_test::data::make(cases),
                     sample) {
    const std::optional<std::size_t> chosen = choose_read_target(sample.candidates);
    BOOST_TEST((chosen.has_value() ? sample.candidates[*chosen].target.value : "") ==
               sample.expected);
}

// Simulates a burst of reads that arrive faster than they finish. Guards against filling the slots
// of one target while another has free ones.
BOOST_AUTO_TEST_CASE(a_burst_of_reads_is_spread_over_the_replicas) {
    std::vector<read_candidate> candidates{candidate("a", 20ms), remote(candidate("b", 20ms)),
                                           primary(candidate("c", 20ms))};
    std::array<unsigned, 3> reads_per_target{};
    for (int arrival = 0; arrival < 12; ++arrival) {
        const std::optional<std::size_t> chosen = choose_read_target(candidates);
        BOOST_REQUIRE(chosen.has_value());
        ++candidates[*chosen].in_use;
        ++reads_per_target[*chosen];
    }
    BOOST_TEST(reads_per_target[0] >= 4U);
    BOOST_TEST(reads_per_target[1] >= 4U);
    BOOST_TEST(reads_per_target[2] >= 1U);
    BOOST_TEST(reads_per_target[2] < reads_per_target[1]);
}

} // namespace lovagemoor::proxy
