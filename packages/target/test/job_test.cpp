#include "task_driver.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace target_test; // NOLINT(google-build-using-namespace)
using lovagemoor::standin_target::start_group;

namespace {

/// A primary that stores order 1, written by a request with the idempotency key "old" and the
/// digest "d1".
struct fixture {
    target_process target{"a", {"--primary"}};
    task_driver driver;
    core::connection_id connection = driver.open(record_of(target)).value();

    fixture() {
        BOOST_TEST_REQUIRE(driver.run(connection, insert_job(1, "old", "d1")).kind() == "done");
    }

    std::string count() { return count_on(connection); }

    std::string count_on(core::connection_id idle) {
        const job_outcome outcome = driver.run(idle, count_job());
        return outcome.kind() == "done" ? outcome.batches.at(0).rows.at(0).at(0).value()
                                        : outcome.kind();
    }
};

struct job_case {
    const char* name;
    core::target_job job;
    std::string expected;
    std::string orders_afterwards;
};

std::ostream& operator<<(std::ostream& output, const job_case& item) {
    return output << item.name;
}

core::write_job guarded(core::write_job job, core::read_guard guard) {
    job.guard = guard;
    return job;
}

core::write_job with_claim(core::statement statement, const std::string& key) {
    core::write_job job = insert_job(1, key, "d1");
    job.statement = std::move(statement);
    return job;
}

const core::read_guard unreached_guard{1, 99, std::nullopt};
const core::statement unknown_statement{"SELECT 1", {}};

const std::vector<job_case> jobs{
    {"read", count_job(), "done", "1"},
    {"guarded read", count_job({1, 2, std::nullopt}), "done", "1"},
    {"read of a target that is behind", count_job(unreached_guard), "error DG002", "1"},
    {"read of unknown text", core::read_job{unknown_statement, {}}, "error 42601", "1"},
    {"read that writes", core::read_job{insert_statement(2), {}}, "error 25006", "1"},
    {"read that opens a transaction", core::read_job{{"BEGIN", {}}, {}}, "done", "1"},
    {"text with a zero byte", core::read_job{{std::string("a\0b", 3), {}}, {}}, "error 22021", "1"},
    {"write", insert_job(2), "done", "2"},
    {"write that fails", insert_job(1), "error 23505", "1"},
    {"write on a target that is behind", guarded(insert_job(2), unreached_guard), "error DG002",
     "1"},
    {"keyed write", insert_job(2, "new", "d1"), "done", "2"},
    {"keyed write that fails", insert_job(1, "new", "d1"), "error 23505", "1"},
    {"keyed write on a target that is behind", guarded(insert_job(2, "new", "d1"), unreached_guard),
     "error DG002", "1"},
    {"keyed write of unknown text", with_claim(unknown_statement, "new"), "error 42601", "1"},
    {"keyed write that ends the transaction", with_claim({"ROLLBACK", {}}, "new"), "lost, sent",
     "lost, not sent"},
    {"repeated keyed write", insert_job(1, "old", "d1"), "replayed", "1"},
    {"key of another request", insert_job(2, "old", "d2"), "conflict", "1"},
    {"begin", core::begin_job{}, "done", "1"},
    {"begin on a target that is behind", core::begin_job{unreached_guard, std::nullopt},
     "error DG002", "1"},
    {"begin with a key that committed", core::begin_job{{}, insert_job(1, "old", "d1").claim},
     "already committed", "1"},
    {"begin with a key of another request", core::begin_job{{}, insert_job(1, "old", "d2").claim},
     "conflict", "1"},
    {"rollback without a transaction", core::rollback_job{}, "done", "1"},
    {"reset", core::reset_job{}, "done", "1"},
};

struct end_case {
    const char* name;
    std::vector<core::target_job> jobs;
    std::vector<std::string> expected;
    std::string orders_afterwards;
};

std::ostream& operator<<(std::ostream& output, const end_case& item) {
    return output << item.name;
}

const core::transaction_job insert_two{insert_statement(2)};
const core::begin_job keyed_begin{{}, insert_job(1, "new", "d1").claim};

const std::vector<end_case> transactions{
    {"commit", {core::begin_job{}, insert_two, core::commit_job{}}, {"done", "done", "done"}, "2"},
    {"rollback",
     {core::begin_job{}, insert_two, core::rollback_job{}},
     {"done", "done", "done"},
     "1"},
    {"reset", {core::begin_job{}, insert_two, core::reset_job{}}, {"done", "done", "done"}, "1"},
    {"commit after an error",
     {core::begin_job{}, insert_two, insert_two, core::commit_job{}},
     {"done", "done", "error 23505", "error 25P02"},
     "1"},
    {"keyed commit after an error",
     {keyed_begin, insert_two, insert_two, core::commit_job{"new"}, keyed_begin},
     {"done", "done", "error 23505", "error 25P02", "done"},
     "1"},
    {"repeated keyed transaction",
     {keyed_begin, insert_two, core::commit_job{"new"}, keyed_begin},
     {"done", "done", "done", "already committed"},
     "2"},
    {"statement that ends the transaction",
     {core::begin_job{}, core::transaction_job{{"ROLLBACK", {}}}, insert_two},
     {"done", "lost, sent", "lost, not sent"},
     "lost, not sent"},
};

struct claim_end_case {
    core::target_job end;
    std::string expected;
};

std::ostream& operator<<(std::ostream& output, const claim_end_case& item) {
    return output << item.expected;
}

const std::vector<claim_end_case> claim_ends{{core::commit_job{"new"}, "already committed"},
                                             {core::rollback_job{}, "done"}};

} // namespace

BOOST_AUTO_TEST_SUITE(jobs_on_a_primary)

// Guards against jobs that report a wrong result, take effect in part or leave the connection
// unusable.
BOOST_DATA_TEST_CASE(single_job, boost::unit_test::data::make(jobs), item) {
    fixture setup;
    BOOST_TEST(setup.driver.run(setup.connection, item.job).kind() == item.expected);
    BOOST_TEST(setup.count() == item.orders_afterwards);
}

// Guards against transactions whose commit or rollback is reported wrongly.
BOOST_DATA_TEST_CASE(transaction, boost::unit_test::data::make(transactions), item) {
    fixture setup;
    std::vector<std::string> kinds;
    for (const core::target_job& job : item.jobs) {
        kinds.push_back(setup.driver.run(setup.connection, job).kind());
    }
    BOOST_TEST(kinds == item.expected, boost::test_tools::per_element());
    BOOST_TEST(setup.count() == item.orders_afterwards);
}

// Guards against a repeated request that does not wait until the transaction that has claimed its
// idempotency key ends.
BOOST_DATA_TEST_CASE(repeat_waits_for_the_holder, boost::unit_test::data::make(claim_ends), item) {
    fixture setup;
    const core::connection_id second = setup.driver.open(record_of(setup.target)).value();
    BOOST_TEST(setup.driver.run(setup.connection, keyed_begin).kind() == "done");
    const core::job_id waiting = setup.driver.start(second, keyed_begin);
    // A read job runs in its own transaction, so it needs a connection without an open transaction.
    const core::connection_id third = setup.driver.open(record_of(setup.target)).value();
    BOOST_TEST(setup.count_on(third) == "1");
    BOOST_TEST(!setup.driver.has_ended(waiting));
    BOOST_TEST(setup.driver.run(setup.connection, item.end).kind() == "done");
    BOOST_TEST(setup.driver.wait(waiting).kind() == item.expected);
}

// Guards against results whose log position precedes the write or whose row counts are missing.
BOOST_AUTO_TEST_CASE(results_carry_positions_and_counts) {
    fixture setup;
    const core::job_done written = setup.driver.run(setup.connection, insert_job(2)).done();
    BOOST_TEST(written.term == 1U);
    BOOST_TEST(written.position == 3U);
    BOOST_TEST(written.affected_rows == 1U);
    const job_outcome read = setup.driver.run(setup.connection, count_job());
    BOOST_TEST(read.done().position == 3U);
    BOOST_TEST(read.done().row_count == 1U);
    BOOST_TEST(read.done().affected_rows == 0U);
    BOOST_TEST(read.batches.at(0).columns.at(0) == "count");
    const job_outcome repeated = setup.driver.run(setup.connection, insert_job(1, "old", "d1"));
    BOOST_TEST(repeated.done().affected_rows == 1U);
    BOOST_TEST(repeated.done().position == 3U);
}

// Guards against a repeated request that runs the statement again or does not return the stored
// rows.
BOOST_AUTO_TEST_CASE(repeat_returns_the_stored_rows) {
    fixture setup;
    const core::write_job keyed = with_claim({select_orders, {}}, "rows");
    const job_outcome first = setup.driver.run(setup.connection, keyed);
    BOOST_TEST(setup.driver.run(setup.connection, insert_job(2)).kind() == "done");
    const job_outcome second = setup.driver.run(setup.connection, keyed);
    BOOST_TEST(second.kind() == "replayed");
    BOOST_TEST(second.done().row_count == 1U);
    BOOST_TEST((first.batches == second.batches));
}

// Guards against a commit on a primary that has promised a higher term.
BOOST_AUTO_TEST_CASE(primary_with_raised_term_refuses_writes) {
    fixture setup;
    BOOST_TEST(setup.driver.run(setup.connection, core::begin_job{}).kind() == "done");
    BOOST_TEST(setup.driver.run(setup.connection, insert_two).kind() == "done");
    static_cast<void>(
        setup.driver.call(record_of(setup.target), core::fence_call{2}, std::chrono::seconds{20}));
    BOOST_TEST(setup.driver.run(setup.connection, core::commit_job{}).kind() == "error 25006");
    BOOST_TEST(setup.driver.run(setup.connection, insert_job(3)).kind() == "error 25006");
    BOOST_TEST(setup.driver.run(setup.connection, insert_job(3, "k", "d")).kind() == "error 25006");
    BOOST_TEST(setup.count() == "1");
}

// Guards against replica reads that return older data than the read guard allows.
BOOST_AUTO_TEST_CASE(replica_reads_respect_the_age) {
    const auto group = start_group({"a", "b"});
    task_driver driver;
    const core::target_record replica = record_of(*group[1]);
    const core::connection_id connection = driver.open(replica).value();
    static_cast<void>(driver.call(replica, core::attest_call{1, 1, std::chrono::seconds{20}},
                                  std::chrono::seconds{25}));
    const core::read_guard lenient{1, 1, std::chrono::hours{1}};
    BOOST_TEST(driver.run(connection, count_job(lenient)).kind() == "done");
    BOOST_TEST(driver.run(connection, insert_job(1)).kind() == "error 25006");
    group[1]->control("cut_replication", "on");
    const core::read_guard strict{1, 1, std::chrono::milliseconds{20}};
    std::string kind = "done";
    while (kind == "done") {
        kind = driver.run(connection, count_job(strict)).kind();
    }
    BOOST_TEST(kind == "error DG004");
    BOOST_TEST((driver.run(connection, count_job(lenient)).done().age > *strict.max_age));
}

BOOST_AUTO_TEST_SUITE_END()
