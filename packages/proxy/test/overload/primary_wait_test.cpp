#include <lovagemoor/proxy/overload/primary_wait.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

struct wait_case {
    const char* name;
    primary_outage outage;
    bool expected;

    friend std::ostream& operator<<(std::ostream& output, const wait_case& value) {
        return output << value.name;
    }
};

const std::vector<wait_case> cases{
    {"just lost", {100ms, true, 3s, 900ms}, true},
    {"within the usual failover time", {2s, true, 3s, 900ms}, true},
    {"lost for longer than a failover takes", {3s, true, 3s, 900ms}, false},
    {"no registry, no promotion", {100ms, false, 3s, 900ms}, false},
    {"no time left", {100ms, true, 3s, 0ms}, false},
};

} // namespace

// Guards against requests that wait until their deadline although no primary can be expected.
BOOST_DATA_TEST_CASE(holds_only_while_a_primary_is_expected, boost::unit_test::data::make(cases),
                     sample) {
    BOOST_TEST(should_wait_for_primary(sample.outage) == sample.expected);
}

// Simulates a steady load of writes while the primary is lost for 8 s without a failover. Only
// requests that arrive within the usual failover time may wait, which limits how many wait at once.
BOOST_AUTO_TEST_CASE(a_long_outage_does_not_accumulate_requests) {
    int held = 0;
    int refused = 0;
    for (core::duration elapsed = 0ms; elapsed < 8s; elapsed += 20ms) {
        (should_wait_for_primary({elapsed, true, 3s, 1s}) ? held : refused) += 1;
    }
    BOOST_TEST(held == 150);
    BOOST_TEST(refused == 250);
}

} // namespace lovagemoor::proxy
