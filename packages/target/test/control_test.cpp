#include "task_driver.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <string>
#include <vector>

using namespace target_test; // NOLINT(google-build-using-namespace)
using lovagemoor::standin_target::start_group;

namespace {

constexpr std::chrono::seconds max_wait{20};

/// Formats a result as text, for example "promise 2 1 1".
struct result_formatter {
    std::string operator()(const core::status_reply& reply) const {
        return "status " + std::to_string(reply.promised_term) + " " +
               std::to_string(reply.last_term) + " " + std::to_string(reply.position) +
               (reply.is_primary ? " primary" : " replica");
    }

    std::string operator()(const core::promise_reply& reply) const {
        return "promise " + std::to_string(reply.promised_term) + " " +
               std::to_string(reply.last_term) + " " + std::to_string(reply.position);
    }

    std::string operator()(const core::promote_reply& reply) const {
        return "promote " + std::to_string(reply.term) + " " + std::to_string(reply.start_position);
    }

    std::string operator()(const core::control_error& error) const {
        return "error " + error.sqlstate;
    }

    std::string operator()(const core::control_unreachable& result) const {
        return result.capacity ? "capacity" : "unreachable";
    }
};

std::string to_text(const core::control_result& result) {
    return std::visit(result_formatter{}, result);
}

struct call_case {
    std::vector<core::control_call> calls;
    std::string expected;
};

std::ostream& operator<<(std::ostream& output, const call_case& item) {
    return output << item.expected;
}

const std::vector<call_case> calls{
    {{core::status_call{}}, "status 1 1 1 primary"},
    {{core::fence_call{2}}, "promise 2 1 1"},
    {{core::fence_call{2}, core::status_call{}}, "status 2 1 1 replica"},
    {{core::fence_call{2}, core::fence_call{1}}, "error DG001"},
    {{core::fence_call{2}, core::promote_call{2}}, "promote 2 2"},
    {{core::fence_call{3}, core::promote_call{2}}, "error DG001"},
    {{core::attest_call{1, 1, max_wait}}, "promise 1 1 1"},
    {{core::attest_call{1, 9, std::chrono::milliseconds{1}}}, "promise 1 1 1"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_calls)

// Guards against replies that are parsed from the wrong columns, and against calls that run out of
// order.
BOOST_DATA_TEST_CASE(replies, boost::unit_test::data::make(calls), item) {
    const target_process target("a", {"--primary"});
    task_driver driver;
    core::control_result last;
    for (const core::control_call& call : item.calls) {
        last = driver.call(record_of(target), call, max_wait);
    }
    BOOST_TEST(to_text(last) == item.expected);
}

// Guards against a replica's age and the time since it last heard from its primary being read in
// the wrong unit or from the wrong column.
BOOST_AUTO_TEST_CASE(status_of_a_replica_without_replication) {
    const auto group = start_group({"a", "b"});
    task_driver driver;
    const core::target_record replica = record_of(*group[1]);
    BOOST_TEST(to_text(driver.call(replica, core::attest_call{1, 1, max_wait}, max_wait * 2)) ==
               "promise 1 1 1");
    group[1]->control("cut_replication", "on");
    core::status_reply status;
    while (status.primary_silence < std::chrono::milliseconds{100}) {
        status = std::get<core::status_reply>(driver.call(replica, core::status_call{}, max_wait));
    }
    BOOST_TEST((status.age >= std::chrono::milliseconds{100}));
    BOOST_TEST(!status.is_primary);
}

// Guards against a status call that is delayed by a waiting attest call, and against more than two
// control connections to a target.
BOOST_AUTO_TEST_CASE(two_connections_serve_all_calls) {
    const target_process target("a", {"--primary", "--max_connections=2"});
    task_driver driver;
    const core::call_id waiting =
        driver.start_call(record_of(target), core::attest_call{1, 2, max_wait}, max_wait * 2);
    std::array<core::call_id, 5> others{};
    for (core::call_id& call : others) {
        call = driver.start_call(record_of(target), core::status_call{}, max_wait);
    }
    for (const core::call_id call : others) {
        BOOST_TEST(to_text(driver.wait_call(call)) == "status 1 1 1 primary");
    }
    BOOST_TEST(to_text(driver.call(record_of(target), core::promote_call{2}, max_wait)) ==
               "promote 2 2");
    BOOST_TEST(to_text(driver.wait_call(waiting)) == "promise 2 2 2");
}

// Guards against a call that never ends because the target does not answer, and against results of
// a timed-out call that are taken for those of the next one.
BOOST_AUTO_TEST_CASE(frozen_target_times_out) {
    const target_process target("a", {"--primary"});
    task_driver driver;
    BOOST_TEST(to_text(driver.call(record_of(target), core::status_call{}, max_wait)) ==
               "status 1 1 1 primary");
    target.control("freeze", "on");
    const core::call_id first =
        driver.start_call(record_of(target), core::fence_call{2}, std::chrono::milliseconds{30});
    const core::call_id second =
        driver.start_call(record_of(target), core::status_call{}, max_wait);
    BOOST_TEST(to_text(driver.wait_call(first)) == "unreachable");
    target.control("freeze", "off");
    // The raise call was sent before it timed out, so it may take effect before the status call.
    const std::string status = to_text(driver.wait_call(second));
    BOOST_TEST((status == "status 1 1 1 primary" || status == "status 2 1 1 replica"));
}

// Guards against confusing a target that has reached its connection limit with one that is
// unreachable.
BOOST_AUTO_TEST_CASE(refused_connections) {
    target_process target("a", {"--primary"});
    task_driver driver;
    const core::target_record record = record_of(target);
    target.control("reject_connections", "53300");
    BOOST_TEST(to_text(driver.call(record, core::status_call{}, max_wait)) == "capacity");
    target.control("reject_connections", "on");
    BOOST_TEST(to_text(driver.call(record, core::status_call{}, max_wait)) == "unreachable");
    target.control("reject_connections", "off");
    BOOST_TEST(to_text(driver.call(record, core::status_call{}, max_wait)) ==
               "status 1 1 1 primary");
    target.kill();
    BOOST_TEST(to_text(driver.call(record, core::status_call{}, max_wait)) == "unreachable");
    BOOST_TEST(to_text(driver.call(record, core::status_call{}, max_wait)) == "unreachable");
}

// Guards against calls that still go to a target's former address.
BOOST_AUTO_TEST_CASE(calls_go_to_the_changed_address) {
    const target_process before("a", {"--primary"});
    const target_process after("a");
    task_driver driver;
    BOOST_TEST(to_text(driver.call(record_of(before), core::status_call{}, max_wait)) ==
               "status 1 1 1 primary");
    BOOST_TEST(to_text(driver.call(record_of(after), core::status_call{}, max_wait)) ==
               "status 0 0 0 replica");
}

BOOST_AUTO_TEST_SUITE_END()
