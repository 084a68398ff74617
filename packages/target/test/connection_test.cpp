#include "task_driver.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace target_test; // NOLINT(google-build-using-namespace)

namespace {

lovagemoor::target::target_settings small_answers() {
    lovagemoor::target::target_settings settings;
    settings.max_stored_answer_bytes = 100;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connections)

// Guards against reporting a write as failed although it may have taken effect, when the connection
// breaks after COMMIT.
BOOST_AUTO_TEST_CASE(answer_lost_after_commit) {
    const target_process target("a", {"--primary"});
    task_driver driver;
    target.control("drop_after_commit", "");
    const core::connection_id first = driver.open(record_of(target)).value();
    BOOST_TEST(driver.run(first, insert_job(1, "k", "d")).kind() == "lost, sent");
    BOOST_TEST(driver.run(first, count_job()).kind() == "lost, not sent");
    const core::connection_id second = driver.open(record_of(target)).value();
    const job_outcome repeated = driver.run(second, insert_job(1, "k", "d"));
    BOOST_TEST(repeated.kind() == "replayed");
    BOOST_TEST(repeated.done().affected_rows == 1U);
}

// Guards against the same fault in writes without an idempotency key, whose COMMIT is sent together
// with the statement.
BOOST_AUTO_TEST_CASE(answer_lost_after_unkeyed_commit) {
    const target_process target("a", {"--primary"});
    task_driver driver;
    target.control("drop_after_commit", "");
    const core::connection_id first = driver.open(record_of(target)).value();
    BOOST_TEST(driver.run(first, insert_job(1)).kind() == "lost, sent");
    const core::connection_id second = driver.open(record_of(target)).value();
    BOOST_TEST(driver.run(second, insert_job(1)).kind() == "error 23505");
}

// Guards against a connection that ends together with an error but is not reported as closed.
BOOST_AUTO_TEST_CASE(connection_ends_after_an_error) {
    const target_process target("a", {"--primary"});
    task_driver driver;
    const core::connection_id connection = driver.open(record_of(target)).value();
    BOOST_TEST(driver.run(connection, core::begin_job{}).kind() == "done");
    const core::transaction_job insert{insert_statement(1)};
    BOOST_TEST(driver.run(connection, insert).kind() == "done");
    static_cast<void>(
        driver.call(record_of(target), core::fence_call{2}, std::chrono::seconds{20}));
    // The COMMIT that the caller sent as a statement fails and ends the transaction.
    const core::transaction_job commit{{"COMMIT", {}}};
    BOOST_TEST(driver.run(connection, commit).kind() == "error 25006");
    driver.wait_closed(connection);
    BOOST_TEST(driver.run(connection, insert).kind() == "lost, not sent");
}

// Guards against jobs that never end after their target was killed, and against idle connections
// whose end is not detected.
BOOST_AUTO_TEST_CASE(killed_target_ends_jobs_and_connections) {
    target_process target("a", {"--primary"});
    task_driver driver;
    const core::connection_id idle = driver.open(record_of(target)).value();
    const core::connection_id busy = driver.open(record_of(target)).value();
    const core::job_id job =
        driver.start(busy, core::read_job{{"SELECT pg_sleep($1)", {"3600"}}, {}});
    // The task performs actions in order, so the first job was sent before this one.
    BOOST_TEST(driver.run(idle, count_job()).kind() == "done");
    target.kill();
    BOOST_TEST(driver.wait(job).kind() == "lost, sent");
    driver.wait_closed(idle);
    BOOST_TEST(driver.run(idle, count_job()).kind() == "lost, not sent");
    BOOST_TEST(!driver.open(record_of(target)).has_value());
    BOOST_TEST(!driver.was_refused_for_capacity());
}

// Guards against a closed connection whose transaction stays open, or whose job is reported
// afterwards.
BOOST_AUTO_TEST_CASE(closing_a_connection_rolls_back_its_transaction) {
    const target_process target("a", {"--primary"});
    task_driver driver;
    const core::connection_id first = driver.open(record_of(target)).value();
    const core::connection_id second = driver.open(record_of(target)).value();
    const core::begin_job keyed{{}, insert_job(1, "k", "d").claim};
    BOOST_TEST(driver.run(first, keyed).kind() == "done");
    const core::job_id dropped = driver.start(first, core::transaction_job{insert_statement(1)});
    driver.close(first);
    BOOST_TEST(driver.run(second, keyed).kind() == "done");
    BOOST_TEST(driver.run(first, count_job()).kind() == "lost, not sent");
    // The job may have ended before the connection was closed, but must not be reported as lost.
    if (driver.has_ended(dropped)) {
        BOOST_TEST(driver.wait(dropped).kind() == "done");
    }
}

// Guards against treating a target that has reached its connection limit as a failed one.
BOOST_AUTO_TEST_CASE(refusal_for_capacity_is_recognized) {
    const target_process target("a", {"--primary", "--max_connections=1"});
    task_driver driver;
    BOOST_TEST(driver.open(record_of(target)).has_value());
    BOOST_TEST(!driver.open(record_of(target)).has_value());
    BOOST_TEST(driver.was_refused_for_capacity());
    target.control("reject_connections", "on");
    BOOST_TEST(!driver.open(record_of(target)).has_value());
    BOOST_TEST(!driver.was_refused_for_capacity());
}

// Guards against a connection attempt that never ends because the target does not answer.
BOOST_AUTO_TEST_CASE(connecting_to_a_frozen_target_times_out) {
    const target_process target("a", {"--primary"});
    target.control("freeze", "on");
    lovagemoor::target::target_settings settings;
    settings.connect_timeout = std::chrono::milliseconds{50};
    task_driver driver(settings);
    BOOST_TEST(!driver.open(record_of(target)).has_value());
}

// Guards against large results that are buffered in memory as a whole or delivered incompletely.
BOOST_AUTO_TEST_CASE(large_result_arrives_in_bounded_batches) {
    constexpr int count = 1000;
    constexpr std::size_t kit_bytes = 300;
    const target_process target("a", {"--primary"});
    task_driver driver;
    const lovagemoor::target::target_settings defaults;
    const core::connection_id connection = driver.open(record_of(target)).value();
    BOOST_TEST(driver.run(connection, core::begin_job{}).kind() == "done");
    const std::string kit(kit_bytes, 'k');
    for (int id = 1; id <= count; ++id) {
        const core::transaction_job job{insert_statement(id, kit)};
        BOOST_TEST_REQUIRE(driver.run(connection, job).kind() == "done");
    }
    BOOST_TEST(driver.run(connection, core::commit_job{}).kind() == "done");
    core::write_job keyed = insert_job(1, "k", "d");
    keyed.statement = {select_orders, {}};
    // The jobs are a read, a write with an idempotency key and a repetition of that write.
    const std::vector<core::target_job> jobs{core::read_job{{select_orders, {}}, {}}, keyed, keyed};
    for (const core::target_job& job : jobs) {
        const job_outcome outcome = driver.run(connection, job);
        BOOST_TEST(outcome.done().row_count == static_cast<std::size_t>(count));
        BOOST_TEST(outcome.row_count() == static_cast<std::size_t>(count));
        BOOST_TEST(outcome.batches.size() >= count * kit_bytes / defaults.max_batch_bytes);
        for (const core::row_batch& batch : outcome.batches) {
            BOOST_TEST(batch.rows.size() <= defaults.max_batch_rows);
            BOOST_TEST(batch.rows.size() * kit_bytes <= defaults.max_batch_bytes);
            BOOST_TEST(batch.columns.empty() == (&batch != &outcome.batches.front()));
        }
    }
}

// Guards against storing an answer above the size limit, and against committing its write.
BOOST_AUTO_TEST_CASE(oversized_answer_is_rolled_back) {
    const target_process target("a", {"--primary"});
    task_driver driver(small_answers());
    const core::connection_id connection = driver.open(record_of(target)).value();
    for (int id = 1; id <= 50; ++id) {
        BOOST_TEST(driver.run(connection, insert_job(id)).kind() == "done");
    }
    core::write_job keyed = insert_job(1, "k", "d");
    keyed.statement = {select_orders, {}};
    BOOST_TEST(driver.run(connection, keyed).kind() == "error 54000");
    BOOST_TEST(driver.run(connection, insert_job(51, "k", "d")).kind() == "done");
}

BOOST_AUTO_TEST_SUITE_END()
