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

struct statement_case {
    const char* sql;
    std::vector<std::string> parameters;
    std::string expected;
};

std::ostream& operator<<(std::ostream& output, const statement_case& item) {
    return output << item.sql;
}

/// Returns the SQLSTATE of an error, else the first value, or the tag if there are no rows.
std::string summary(const answer& item) {
    if (!item.sqlstate.empty()) {
        return item.sqlstate;
    }
    return item.rows.empty() ? item.tag : item.value(0, 0);
}

const std::vector<statement_case> single_statements{
    {insert_order, {"2", "shed", "4"}, "INSERT 0 1"},
    {insert_order, {"1", "shed", "4"}, "23505"},
    {insert_order, {"x", "shed", "4"}, "22P02"},
    {insert_order, {"2"}, "08P01"},
    {update_order, {"1", "9"}, "UPDATE 1"},
    {update_order, {"7", "9"}, "UPDATE 0"},
    {select_order, {"1"}, "1"},
    {select_order, {"7"}, "SELECT 0"},
    {select_orders, {}, "1"},
    {count_orders, {}, "1"},
    {"SELECT pg_sleep($1)", {"0.001"}, ""},
    {insert_request, {"k", "d", "86400 seconds"}, "INSERT 0 1"},
    {insert_request, {"k", "d", "soon"}, "22007"},
    {update_request, {"k", "a"}, "UPDATE 0"},
    {delete_requests, {}, "DELETE 0"},
    {group_position, {}, "1"},
    {"BEGIN", {}, "BEGIN"},
    {"COMMIT", {}, "COMMIT"},
    {"ROLLBACK", {}, "ROLLBACK"},
    {"DISCARD ALL", {}, "DISCARD ALL"},
    {"SELECT standin_control($1, $2)", {"unheard_of", "on"}, "22023"},
    {"SELECT 1", {}, "42601"},
};

struct pipeline_case {
    const char* name;
    std::vector<request> requests;
    std::vector<std::string> expected;
    PGTransactionStatusType status;
    std::string orders_afterwards;
};

std::ostream& operator<<(std::ostream& output, const pipeline_case& item) {
    return output << item.name;
}

const std::vector<pipeline_case> pipelines{
    {"an implicit transaction commits at Sync",
     {{insert_order, {"2", "shed", "4"}}, {count_orders, {}}},
     {"INSERT 0 1", "2"},
     PQTRANS_IDLE,
     "2"},
    {"an error rolls back the implicit transaction and skips until Sync",
     {{insert_order, {"2", "shed", "4"}}, {insert_order, {"1", "a", "1"}}, {count_orders, {}}},
     {"INSERT 0 1", "23505", "aborted"},
     PQTRANS_IDLE,
     "1"},
    {"an explicit transaction is visible after COMMIT",
     {{"BEGIN", {}}, {insert_order, {"2", "shed", "4"}}, {"COMMIT", {}}, {group_position, {}}},
     {"BEGIN", "INSERT 0 1", "COMMIT", "1"},
     PQTRANS_IDLE,
     "2"},
    {"an error in an explicit transaction leaves it failed",
     {{"BEGIN", {}}, {insert_order, {"1", "shed", "4"}}, {"COMMIT", {}}},
     {"BEGIN", "23505", "aborted"},
     PQTRANS_INERROR,
     "1"},
    {"an open transaction stays open after Sync",
     {{"BEGIN", {}}, {insert_order, {"2", "shed", "4"}}},
     {"BEGIN", "INSERT 0 1"},
     PQTRANS_INTRANS,
     "1"},
    {"DISCARD ALL is refused in a transaction",
     {{count_orders, {}}, {"DISCARD ALL", {}}},
     {"1", "25001"},
     PQTRANS_IDLE,
     "1"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(protocol)

// Guards against command tags, values and SQLSTATEs that differ from PostgreSQL's.
BOOST_DATA_TEST_CASE(single_statement, boost::unit_test::data::make(single_statements), item) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    BOOST_TEST_REQUIRE(connection.is_open(), connection.error());
    BOOST_TEST(connection.run(insert_order, {"1", "barn", "3"}).tag == "INSERT 0 1");
    BOOST_TEST(summary(connection.run(item.sql, item.parameters)) == item.expected);
}

// Guards against pipelines whose transactions begin or end at the wrong statement.
BOOST_DATA_TEST_CASE(pipeline, boost::unit_test::data::make(pipelines), item) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    client other(target.port());
    BOOST_TEST(connection.run(insert_order, {"1", "barn", "3"}).tag == "INSERT 0 1");
    std::vector<std::string> summaries;
    for (const answer& result : connection.run_pipeline(item.requests)) {
        summaries.push_back(summary(result));
    }
    BOOST_TEST(summaries == item.expected, boost::test_tools::per_element());
    BOOST_TEST(connection.transaction_status() == item.status);
    BOOST_TEST(other.run(count_orders).value(0, 0) == item.orders_afterwards);
}

// Guards against answers that are delayed until Sync although the client sent a Flush message, both
// on success and after an error.
BOOST_AUTO_TEST_CASE(flush_sends_answers) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    const std::vector<answer> answers = connection.run_flushed(
        {{count_orders, {}}, {insert_order, {"x", "a", "1"}}, {count_orders, {}}});
    BOOST_TEST(summary(answers.at(0)) == "0");
    BOOST_TEST(summary(answers.at(1)) == "22P02");
    BOOST_TEST(summary(answers.at(2)) == "aborted");
}

// Guards against a COMMIT that reports success for a failed transaction.
BOOST_AUTO_TEST_CASE(commit_of_a_failed_transaction_reports_rollback) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    BOOST_TEST(connection.run_simple("BEGIN").tag == "BEGIN");
    BOOST_TEST(connection.run("SELECT 1").sqlstate == "42601");
    BOOST_TEST(connection.run(count_orders).sqlstate == "25P02");
    BOOST_TEST(connection.run_simple("COMMIT").tag == "ROLLBACK");
    BOOST_TEST(connection.run_simple(count_orders).value(0, 0) == "0");
}

// Guards against reads that miss the transaction's own changes, or that see uncommitted changes of
// another transaction.
BOOST_AUTO_TEST_CASE(transaction_reads_its_own_changes) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    client other(target.port());
    BOOST_TEST(connection.run(insert_order, {"2", "barn", "1"}).sqlstate.empty());
    BOOST_TEST(connection.run("BEGIN").tag == "BEGIN");
    BOOST_TEST(connection.run(insert_order, {"1", "shed", "1"}).sqlstate.empty());
    BOOST_TEST(connection.run(insert_order, {"3", "shed", "1"}).sqlstate.empty());
    BOOST_TEST(connection.run(update_order, {"2", "9"}).tag == "UPDATE 1");
    const answer own = connection.run(select_orders);
    std::string orders;
    for (std::size_t row = 0; row < own.rows.size(); ++row) {
        orders += own.value(row, 0) + ":" + own.value(row, 2) + " ";
    }
    BOOST_TEST(orders == "1:1 2:9 3:1 ");
    BOOST_TEST(connection.run(count_orders).value(0, 0) == "3");
    BOOST_TEST(other.run(count_orders).value(0, 0) == "1");
    BOOST_TEST(other.run(select_orders).value(0, 2) == "1");
}

// Guards against a truncated result when it exceeds the output buffer.
BOOST_AUTO_TEST_CASE(large_result_arrives_completely) {
    constexpr int count = 3000;
    const target_process target("a", {"--primary"});
    client connection(target.port());
    std::vector<request> inserts;
    for (int id = 1; id <= count; ++id) {
        inserts.push_back({insert_order, {std::to_string(id), std::string(1000, 'k'), "1"}});
    }
    BOOST_TEST(connection.run_pipeline(inserts).back().tag == "INSERT 0 1");
    BOOST_TEST(connection.run(select_orders).rows.size() == static_cast<std::size_t>(count));
}

BOOST_AUTO_TEST_SUITE_END()
