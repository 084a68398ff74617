#include <lovagemoor/core/read_router.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>
#include <string>

namespace lovagemoor::core {

namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const group_id group{"g"};
const time_point now{std::chrono::seconds{100}};

/// t0 is the primary, t1 a replica in this host's failure domain and t2 a replica in another one.
struct scenario {
    const char* name;
    /// Unset for a fresh read.
    std::optional<std::chrono::milliseconds> max_age;
    std::vector<target_observation> observed;
    std::vector<target_id> excluded;
    std::set<std::string> leaving;
    /// Expected target; empty if none is expected.
    std::string expected;

    friend std::ostream& operator<<(std::ostream& output, const scenario& value) {
        return output << value.name;
    }
};

target_observation seen(const char* id, std::chrono::milliseconds age, log_position position,
                        std::chrono::milliseconds wait, bool reachable = true) {
    return {target_id{id}, 5, position, age, false, reachable, wait};
}

const std::vector<scenario> scenarios{
    {"fresh read", std::nullopt, {}, {}, {}, "t0"},
    {"fresh read, primary tried", std::nullopt, {}, {target_id{"t0"}}, {}, ""},
    {"fresh read, primary down is still the only safe one",
     std::nullopt,
     {seen("t0", 0ms, 9, 0ms, false)},
     {},
     {},
     "t0"},
    {"near replica first, unobserved", 1'000ms, {}, {}, {}, "t1"},
    {"near replica tried", 1'000ms, {}, {target_id{"t1"}}, {}, "t2"},
    {"replicas tried", 1'000ms, {}, {target_id{"t1"}, target_id{"t2"}}, {}, "t0"},
    {"all tried", 1'000ms, {}, {target_id{"t0"}, target_id{"t1"}, target_id{"t2"}}, {}, ""},
    {"too old", 1'000ms, {seen("t1", 1'001ms, 9, 0ms)}, {}, {}, "t2"},
    {"both too old",
     1'000ms,
     {seen("t1", 1'001ms, 9, 0ms), seen("t2", 2'000ms, 9, 0ms)},
     {},
     {},
     "t0"},
    {"behind the token", 1'000ms, {seen("t1", 400ms, 1, 0ms)}, {}, {}, "t2"},
    {"busy replica", 1'000ms, {seen("t1", 0ms, 9, 50ms)}, {}, {}, "t2"},
    {"busy replicas", 1'000ms, {seen("t1", 0ms, 9, 50ms), seen("t2", 0ms, 9, 50ms)}, {}, {}, "t0"},
    {"all busy",
     1'000ms,
     {seen("t0", 0ms, 9, 90ms), seen("t1", 0ms, 9, 50ms), seen("t2", 0ms, 9, 50ms)},
     {},
     {},
     "t1"},
    {"unreachable", 1'000ms, {seen("t1", 0ms, 9, 0ms, false)}, {}, {}, "t2"},
    {"leaving", 1'000ms, {}, {}, {"t1"}, "t2"},
    {"all leaving", 1'000ms, {}, {}, {"t0", "t1", "t2"}, "t1"},
    {"leaving is better than unreachable",
     1'000ms,
     {seen("t1", 0ms, 9, 0ms, false)},
     {target_id{"t0"}},
     {"t2"},
     "t2"},
};

cluster_view make_view(const std::set<std::string>& leaving) {
    cluster_view view{host_record{host_id{"h"}, domain_id{"a"}, {}, {}, {}, false}, 1};
    group_record record{group, {}};
    for (const char* id : {"t0", "t1", "t2"}) {
        const domain_id domain{std::string{id} == "t2" ? "b" : "a"};
        record.targets.push_back({target_id{id}, domain, "127.0.0.1", 1, leaving.contains(id)});
    }
    view.apply({1, record});
    view.apply({2, term_record{group, 5, term_phase::serving, {}, target_id{"t0"}, {{5, 1}}}});
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(read_router_test)

// Guards against choosing a target that cannot be correct or that costs more than another one.
BOOST_DATA_TEST_CASE(cheapest_correct_target, boost::unit_test::data::make(scenarios), test) {
    cluster_view view = make_view(test.leaving);
    for (const target_observation& observation : test.observed) {
        view.observe(now, observation);
    }
    const std::optional<read_choice> choice =
        select_read_target(now, view, {group, {5, 5, test.max_age}, test.excluded, 1});
    BOOST_TEST((choice.has_value() ? choice->target.value : "") == test.expected);
    BOOST_TEST((!choice.has_value() || choice->is_primary == (test.expected == "t0")));
}

// Guards against sending a read to the primary although a replica is known to hold the session's
// position. This happens if the replica's last observation is older than the session's write.
BOOST_AUTO_TEST_CASE(the_holder_of_the_position_is_not_behind) {
    cluster_view view = make_view({});
    view.observe(now, seen("t1", 400ms, 1, 0ms));
    view.observe(now, seen("t2", 400ms, 1, 0ms));
    const read_requirement unknown{group, {5, 5, 1'000ms}, {}, 1};
    BOOST_TEST(select_read_target(now, view, unknown)->target.value == "t0");
    const read_requirement known{group, {5, 5, 1'000ms}, {}, 1, target_id{"t2"}};
    BOOST_TEST(select_read_target(now, view, known)->target.value == "t2");
}

// Guards against excluding a replica for good because its data was too old once.
BOOST_AUTO_TEST_CASE(old_observations_do_not_exclude) {
    cluster_view view = make_view({});
    view.observe(now, seen("t1", 1'001ms, 9, 0ms));
    const std::optional<read_choice> choice =
        select_read_target(now + 2s, view, {group, {5, 5, 1'000ms}, {}, 1});
    BOOST_TEST((choice.has_value() && choice->target.value == "t1"));
}

// Guards against sending all reads to one of two targets of equal cost.
BOOST_AUTO_TEST_CASE(equal_targets_share_reads) {
    cluster_view view = make_view({});
    view.observe(now, seen("t1", 0ms, 9, 3ms));
    int first = 0;
    for (std::uint64_t salt = 0; salt < 200; ++salt) {
        const std::optional<read_choice> choice =
            select_read_target(now, view, {group, {5, 5, 1'000ms}, {}, salt});
        first += choice.has_value() && choice->target.value == "t1" ? 1 : 0;
    }
    BOOST_TEST(first > 60);
    BOOST_TEST(first < 140);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
