#include <lovagemoor/proxy/registry/registry_era_tracker.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using assignment = registry_era_tracker::assignment;

struct era_case {
    const char* name;
    std::vector<std::optional<registry_era>> answers;
    assignment last;

    friend std::ostream& operator<<(std::ostream& output, const era_case& value) {
        return output << value.name;
    }
};

const std::vector<era_case> eras{
    {"a registry without eras", {std::nullopt, std::nullopt}, assignment::current},
    {"the first era", {std::nullopt, 4}, assignment::current},
    {"the same era", {4, 4}, assignment::current},
    {"the next era", {4, 5}, assignment::newer},
    {"an era was missed", {4, 7}, assignment::newer},
    {"a late answer", {4, 5, 4}, assignment::outdated},
    {"no era once one is known", {4, std::nullopt}, assignment::outdated},
};

} // namespace

// Guards against answers that were sent before the registry came back from an older copy.
BOOST_DATA_TEST_CASE(answers_are_assigned_to_eras, boost::unit_test::data::make(eras), sample) {
    registry_era_tracker tracker;
    assignment last = assignment::current;
    for (const std::optional<registry_era>& era : sample.answers) {
        last = tracker.assign(era);
    }
    BOOST_TEST((last == sample.last));
}

// Guards against taking the answer to a call of an earlier era, such as the renewal of a lease
// whose id was granted to another host since, and against dropping answers when the first era is
// named.
BOOST_AUTO_TEST_CASE(calls_of_an_earlier_era_are_recognised) {
    registry_era_tracker tracker;
    const std::optional<registry_era> before = tracker.current();
    static_cast<void>(tracker.assign(4));
    const std::optional<registry_era> first = tracker.current();
    BOOST_TEST(!tracker.restored_since(before));
    BOOST_TEST(!tracker.restored_since(first));
    static_cast<void>(tracker.assign(5));
    BOOST_TEST(tracker.restored_since(first));
    BOOST_TEST(!tracker.restored_since(tracker.current()));
}

} // namespace lovagemoor::proxy
