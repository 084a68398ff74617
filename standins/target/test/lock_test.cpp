#include "client.hpp"
#include "statements.hpp"

#include <lovagemoor/standin_target/target_process.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using lovagemoor::standin_target::target_process;
using namespace standin_target_test; // NOLINT(google-build-using-namespace)

namespace {

struct transaction_end_case {
    const char* end;
    std::string second_insert;
};

std::ostream& operator<<(std::ostream& output, const transaction_end_case& item) {
    return output << item.end;
}

const std::vector<transaction_end_case> transaction_ends{{"COMMIT", "23505"}, {"ROLLBACK", ""}};

} // namespace

BOOST_AUTO_TEST_SUITE(locks)

// Guards against an insert that does not wait for the outcome of a transaction that inserted the
// same key, as happens when a request is repeated.
BOOST_DATA_TEST_CASE(insert_waits_for_the_holder, boost::unit_test::data::make(transaction_ends),
                     item) {
    const target_process target("a", {"--primary"});
    client first(target.port());
    client second(target.port());
    BOOST_TEST(first.run("BEGIN").tag == "BEGIN");
    BOOST_TEST(first.run(insert_request, {"k", "d", "60 seconds"}).sqlstate.empty());
    second.send(insert_request, {"k", "d", "60 seconds"});
    // The answer to the third connection shows that the target has read the second one's statement.
    client third(target.port());
    BOOST_TEST(third.run(select_request, {"k"}).rows.empty());
    BOOST_TEST(!second.has_answer());
    BOOST_TEST(first.run(item.end).tag == item.end);
    BOOST_TEST(second.receive().sqlstate == item.second_insert);
}

// Guards against row locks that are not released when the connection of their holder closes.
BOOST_AUTO_TEST_CASE(lost_connection_releases_locks) {
    const target_process target("a", {"--primary"});
    client second(target.port());
    {
        client first(target.port());
        BOOST_TEST(first.run("BEGIN").tag == "BEGIN");
        BOOST_TEST(first.run(insert_request, {"k", "d", "60 seconds"}).sqlstate.empty());
        second.send(insert_request, {"k", "d", "60 seconds"});
    }
    BOOST_TEST(second.receive().tag == "INSERT 0 1");
}

// Guards against two transactions that wait for each other's row locks for ever.
BOOST_AUTO_TEST_CASE(deadlock_is_detected) {
    const target_process target("a", {"--primary"});
    client first(target.port());
    client second(target.port());
    BOOST_TEST(first.run("BEGIN").tag == "BEGIN");
    BOOST_TEST(second.run("BEGIN").tag == "BEGIN");
    BOOST_TEST(first.run(insert_order, {"1", "a", "1"}).sqlstate.empty());
    BOOST_TEST(second.run(insert_order, {"2", "a", "1"}).sqlstate.empty());
    first.send(insert_order, {"2", "a", "1"});
    // Either transaction may be the one that completes the deadlock and fails.
    const bool second_failed = second.run(insert_order, {"1", "a", "1"}).sqlstate == "40P01";
    const bool first_failed = first.receive().sqlstate == "40P01";
    BOOST_TEST(second_failed != first_failed);
}

// Guards against group calls that wait for a free slot, and against a statement that runs beyond
// the number of slots.
BOOST_AUTO_TEST_CASE(control_calls_need_no_slot) {
    const target_process target("a", {"--primary", "--slots=1"});
    client busy(target.port());
    client waiting(target.port());
    client observer(target.port());
    busy.send("SELECT pg_sleep($1)", {"3600"});
    waiting.send(count_orders);
    BOOST_TEST(observer.run(group_status).value(0, 3) == "t");
    BOOST_TEST(observer.run(group_raise, {"2"}).value(0, 0) == "2");
    BOOST_TEST(!waiting.has_answer());
    target.control("service_time_us", "1");
}

// Guards against a queued statement that does not run when a slot becomes free.
BOOST_AUTO_TEST_CASE(statements_queue_for_slots) {
    const target_process target("a", {"--primary", "--slots=1"});
    client busy(target.port());
    client waiting(target.port());
    busy.send("SELECT pg_sleep($1)", {"0.05"});
    waiting.send(count_orders);
    BOOST_TEST(waiting.receive().value(0, 0) == "0");
    BOOST_TEST(busy.receive().sqlstate.empty());
}

BOOST_AUTO_TEST_SUITE_END()
