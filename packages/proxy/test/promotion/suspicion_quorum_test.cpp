#include <lovagemoor/proxy/promotion/suspicion_quorum.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

struct quorum_case {
    const char* name;
    suspicion_count count;
    bool expected;

    friend std::ostream& operator<<(std::ostream& output, const quorum_case& value) {
        return output << value.name;
    }
};

const std::vector<quorum_case> cases{
    {"no report", {17, 0, 4, 0}, false},
    {"one of many", {17, 1, 4, 1}, false},
    {"all", {17, 17, 4, 4}, true},
    {"a majority in one domain", {17, 9, 4, 1}, true},
    {"a partitioned domain with seven hosts", {17, 7, 4, 1}, false},
    {"a third in several domains", {17, 6, 4, 3}, true},
    {"too few in several domains", {17, 3, 4, 2}, false},
    {"a single host", {1, 1, 1, 1}, true},
    {"one of two", {2, 1, 1, 1}, false},
    {"a third, only one domain", {12, 4, 1, 1}, true},
};

} // namespace

// Guards against failovers started by partitioned hosts, and against keeping a primary that a large
// part of the hosts cannot reach.
BOOST_DATA_TEST_CASE(loss_needs_enough_reports, boost::unit_test::data::make(cases), sample) {
    BOOST_TEST(confirms_loss(sample.count) == sample.expected);
}

} // namespace lovagemoor::proxy
