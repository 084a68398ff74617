#include <lovagemoor/core/admission_controller.hpp>
#include <lovagemoor/core/burn_tracker.hpp>
#include <lovagemoor/core/replay_window.hpp>
#include <lovagemoor/core/retry_budget.hpp>
#include <lovagemoor/core/statement_cost_table.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

namespace lovagemoor::core {

namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""s;

/// Expected wait for a backlog. The measured service times are 10 ms for urgent, 20 ms for normal
/// and 400 ms for bulk requests.
struct load {
    const char* name;
    urgency priority;
    target_backlog backlog;
    std::chrono::milliseconds expected;

    friend std::ostream& operator<<(std::ostream& output, const load& value) {
        return output << value.name;
    }
};

const std::vector<load> loads{
    {"idle", urgency::normal, {{}, {}, 2}, 0ms},
    {"free slot", urgency::normal, {{}, {0, 1, 0}, 2}, 0ms},
    {"full", urgency::normal, {{}, {0, 2, 0}, 2}, 10ms},
    {"queue of the same urgency", urgency::normal, {{0, 4, 0}, {0, 2, 0}, 2}, 50ms},
    {"urgent ahead", urgency::normal, {{4, 0, 0}, {0, 2, 0}, 2}, 30ms},
    {"urgent passes normal", urgency::urgent, {{0, 40, 0}, {0, 2, 0}, 2}, 10ms},
    {"short work beside bulk", urgency::normal, {{0, 0, 9}, {0, 1, 1}, 2}, 10ms},
    {"free slot beside bulk", urgency::urgent, {{0, 0, 9}, {0, 0, 1}, 2}, 0ms},
    {"bulk on the only slot", urgency::urgent, {{}, {0, 0, 1}, 1}, 200ms},
    {"bulk behind bulk", urgency::bulk, {{0, 0, 1}, {0, 0, 1}, 2}, 600ms},
    {"bulk may not take the last slot", urgency::bulk, {{}, {0, 0, 1}, 2}, 200ms},
};

admission_controller measured() {
    admission_controller admission;
    admission.record_service_time(urgency::urgent, 10ms);
    admission.record_service_time(urgency::normal, 20ms);
    admission.record_service_time(urgency::bulk, 400ms);
    return admission;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_measures_test)

// Guards against admitting requests that cannot finish in time and against refusing those that can.
BOOST_DATA_TEST_CASE(wait_follows_the_backlog, boost::unit_test::data::make(loads), test) {
    const admission_controller admission = measured();
    const duration wait = admission.expected_wait(test.priority, test.backlog);
    const duration needed = admission_wait_margin * wait + admission.service_time(test.priority);
    BOOST_TEST(wait.count() == duration{test.expected}.count());
    BOOST_TEST(!admission.retry_after_if_refused(test.priority, needed, test.backlog).has_value());
    const std::optional<duration> late =
        admission.retry_after_if_refused(test.priority, needed - 1ms, test.backlog);
    BOOST_TEST(late.has_value() == (wait > 0ms));
    BOOST_TEST(late.value_or(5ms).count() >= 1'000);
}

// Guards against retries that multiply the load during an overload.
BOOST_AUTO_TEST_CASE(retries_are_a_share_of_requests) {
    retry_budget budget{0.1, 5};
    int retries = 0;
    for (int request = 0; request < 1'000; ++request) {
        budget.on_request();
        retries += budget.try_retry() ? 1 : 0;
    }
    BOOST_TEST(retries >= 99);
    BOOST_TEST(retries <= 105);
}

// Guards against slow statements that are scheduled as urgent because callers declare them so, and
// against a table that grows without limit.
BOOST_AUTO_TEST_CASE(slow_statements_are_bulk) {
    statement_cost_table costs{100ms, 3};
    costs.record("slow", 101ms);
    costs.record("fast", 1ms);
    costs.record("fast", 300ms);
    BOOST_TEST((costs.classify("slow", urgency::urgent) == urgency::bulk));
    BOOST_TEST((costs.classify("fast", urgency::urgent) == urgency::urgent));
    BOOST_TEST((costs.classify("unknown", urgency::normal) == urgency::normal));
    for (int index = 0; index < 10; ++index) {
        costs.record("other " + std::to_string(index), 1ms);
        costs.record("slow", 101ms);
    }
    BOOST_TEST(costs.size() == 3U);
    BOOST_TEST((costs.classify("slow", urgency::urgent) == urgency::bulk));
}

// Guards against outcomes that are still counted after their time window has ended.
BOOST_AUTO_TEST_CASE(counts_leave_their_windows) {
    burn_tracker tracker;
    const time_point start{std::chrono::hours{10}};
    const service_id service{"orders"};
    tracker.record(start, service, urgency::normal, false);
    for (int minute = 0; minute < 120; ++minute) {
        tracker.record(start + minute * 1min, service, urgency::normal, true);
    }
    const std::vector<burn_entry> entries = tracker.entries(start + 119min);
    BOOST_REQUIRE(entries.size() == 3U);
    BOOST_TEST(entries[0].good == 5U);
    BOOST_TEST(entries[0].bad == 0U);
    BOOST_TEST(entries[1].good >= 59U);
    BOOST_TEST(entries[1].good <= 61U);
    BOOST_TEST(entries[1].bad == 0U);
    BOOST_TEST(entries[2].good == 120U);
    BOOST_TEST(entries[2].bad == 1U);
}

// Guards against running a request again when its message is duplicated or arrives out of order.
BOOST_AUTO_TEST_CASE(numbers_are_accepted_once) {
    replay_window window;
    for (const request_id id : {5U, 3U, 9U, 100'000U, 99'999U, 40'000U}) {
        BOOST_TEST(window.accept(id));
        BOOST_TEST(!window.accept(id));
    }
    BOOST_TEST(!window.accept(4));
    BOOST_TEST(!window.accept(9));
    BOOST_TEST(window.accept(100'000 + 65'536 + 9));
    BOOST_TEST(window.accept(100'000 + 65'536 + 8));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
