#include "request_path.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace lovagemoor::core {

namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using operation = forwarded_operation;

constexpr term_number other_term = test_term + 1;

struct result_case {
    const char* name;
    forwarded_operation kind;
    job_result result;
    const char* expected;

    friend std::ostream& operator<<(std::ostream& output, const result_case& value) {
        return output << value.name;
    }
};

const job_result lost_sent = job_connection_lost{true};
const job_result lost_unsent = job_connection_lost{false};

job_result error(const char* state) {
    return job_error{state, "message"};
}

const std::vector<result_case> single_results{
    {"read behind", operation::read, error(sqlstate::behind), "refused/stale_view"},
    {"read diverged", operation::read, error(sqlstate::diverged), "refused/session_diverged"},
    {"read too old", operation::read, error(sqlstate::too_old), "refused/too_stale"},
    {"read that writes", operation::read, error(sqlstate::read_only), "failed/database_error"},
    {"read error", operation::read, error("42P01"), "failed/database_error"},
    {"read lost", operation::read, lost_sent, "unknown/connection_lost"},
    {"read not sent", operation::read, lost_unsent, "refused/stale_view"},
    {"read in another term", operation::read, job_done{1, 0, other_term, 3, {}, false},
     "unknown/term_superseded"},
    {"write done", operation::write, job_done{0, 1, test_term, 3, {}, false}, "done"},
    {"write on a replica", operation::write, error(sqlstate::read_only), "refused/stale_view"},
    {"write behind", operation::write, error(sqlstate::behind), "refused/stale_view"},
    {"write diverged", operation::write, error(sqlstate::diverged), "refused/session_diverged"},
    {"write error", operation::write, error("23505"), "failed/database_error"},
    {"write conflict", operation::write, job_claim_conflict{}, "failed/idempotency_conflict"},
    {"write lost", operation::write, lost_sent, "unknown/connection_lost"},
    {"write not sent", operation::write, lost_unsent, "refused/stale_view"},
    {"write in another term", operation::write, job_done{0, 1, other_term, 3, {}, false},
     "unknown/term_superseded"},
    {"begin on a replica", operation::begin, error(sqlstate::read_only), "refused/stale_view"},
    {"begin conflict", operation::begin, job_claim_conflict{}, "failed/idempotency_conflict"},
    {"begin repeated", operation::begin, job_already_committed{test_term, 3},
     "failed/already_committed"},
    {"begin lost", operation::begin, lost_sent, "unknown/connection_lost"},
};

const std::vector<result_case> transaction_results{
    {"statement error", operation::in_transaction, error("23505"), "failed/database_error"},
    {"statement on a fenced target", operation::in_transaction, error(sqlstate::read_only),
     "failed/database_error"},
    {"statement lost", operation::in_transaction, lost_sent, "failed/transaction_lost"},
    {"commit lost", operation::commit, lost_sent, "unknown/connection_lost"},
    {"commit not sent", operation::commit, lost_unsent, "failed/transaction_lost"},
    {"commit error", operation::commit, error("40001"), "failed/database_error"},
    {"commit in another term", operation::commit, job_done{0, 0, other_term, 3, {}, false},
     "unknown/term_superseded"},
    {"rollback lost", operation::rollback, lost_sent, "failed/transaction_lost"},
    {"rollback", operation::rollback, job_done{}, "done"},
};

} // namespace

/// @brief Test fixture that sends requests to the owner as a remote entry host does.
class owner_path : public request_path {
public:
    owner_path() {
        delivery_count = [this](const peer_message& message) {
            if (const forward_outcome* reply = std::get_if<forward_outcome>(&message)) {
                replies.emplace(reply->id, *reply);
            }
            return 0;
        };
    }

    request_id submit(operation kind, forward_request request = {}) {
        request.id = request.id == 0 ? ++last_ : request.id;
        request.operation = kind;
        request.service = test_service;
        request.group = test_group;
        request.target = request.target.empty() ? test_target(0) : request.target;
        request.statement.sql = request.statement.sql.empty() ? "S" : request.statement.sql;
        request.remaining = request.remaining == 0ms ? 1s : request.remaining;
        owner.submit(now, host_id{"x"}, request, actions);
        run();
        return request.id;
    }

    /// @brief Begins a transaction.
    /// @return A request that belongs to the transaction.
    forward_request begin() {
        const forward_outcome& reply = replies.at(submit(operation::begin));
        forward_request request;
        request.transaction = reply.transaction;
        request.owner_incarnation = reply.owner_incarnation;
        return request;
    }

    [[nodiscard]] std::string reply_to(request_id id) {
        const auto found = replies.find(id);
        if (found == replies.end()) {
            return "waiting";
        }
        answers[id] = answer_caller{id, found->second.result, {}, {}};
        return summary(id);
    }

    void hold_jobs() {
        on_job = [](const run_job& /*job*/) { return std::optional<job_result>{}; };
    }

    void finish_jobs_with(const job_result& result) {
        on_job = [result](const run_job& /*job*/) { return std::optional{result}; };
    }

    /// @brief Changes the target's record or the members so that the owner must refuse.
    void invalidate_placement(const std::string& how) {
        group_record group = *view.find_group(test_group);
        if (how == "leaving") {
            group.targets[0].leaving = true;
            apply(group);
        } else if (how == "unlisted") {
            group.targets.erase(group.targets.begin());
            apply(group);
        } else if (how == "other primary") {
            set_primary(other_term, test_target(1));
        } else if (how == "electing") {
            start_election(other_term);
        } else if (how == "draining") {
            owner.drain(now, actions);
        } else if (how == "other owner") {
            const auto owned_by_self = [this] {
                return view.owner_of(test_target(0)) == view.self().id;
            };
            for (int index = 0; owned_by_self(); ++index) {
                member_update member;
                member.host = {
                    host_id{"m" + std::to_string(index)}, domain_id{"a"}, "tcp://m", {}, {}, false};
                view.set_member(member);
            }
        }
        view_changed();
        run();
    }

    std::map<request_id, forward_outcome> replies;

private:
    request_id last_ = 0;
};

BOOST_AUTO_TEST_SUITE(owner_service_test)

// Guards against answers that claim more or less than the job's result proves.
BOOST_DATA_TEST_CASE(results_of_single_jobs, boost::unit_test::data::make(single_results), test) {
    owner_path path;
    path.finish_jobs_with(test.result);
    BOOST_TEST(path.reply_to(path.submit(test.kind)) == test.expected);
    BOOST_TEST(path.owner.in_progress() == 0U);
    BOOST_TEST(path.held_jobs.empty());
}

// Guards against reporting a transaction as rolled back although its COMMIT was sent.
BOOST_DATA_TEST_CASE(results_in_transactions, boost::unit_test::data::make(transaction_results),
                     test) {
    owner_path path;
    const forward_request request = path.begin();
    path.finish_jobs_with(test.result);
    BOOST_TEST(path.reply_to(path.submit(test.kind, request)) == test.expected);
    const bool is_open = std::string{test.expected} == "failed/database_error" &&
                         test.kind == operation::in_transaction;
    BOOST_TEST(path.owner.in_progress() == (is_open ? 1U : 0U));
    if (test.kind == operation::commit) {
        BOOST_TEST(path.reply_to(path.submit(operation::commit, request)) ==
                   "refused/invalid_transaction");
    }
}

// Guards against reporting work as done that no majority has attested.
BOOST_DATA_TEST_CASE(unattested_work_is_unknown, boost::unit_test::data::make({"read", "write"}),
                     kind) {
    owner_path path;
    path.attests = false;
    const request_id id =
        path.submit(std::string{kind} == "read" ? operation::read : operation::write);
    BOOST_TEST(path.reply_to(id) == "waiting");
    path.advance_time(1s);
    BOOST_TEST(path.reply_to(id) == "unknown/no_quorum");
}

// Guards against running requests that this host must not run, and against requests that stay
// queued after their target was handed over.
BOOST_DATA_TEST_CASE(misplaced_work_is_refused,
                     boost::unit_test::data::make({"leaving", "unlisted", "other primary",
                                                   "electing", "draining", "other owner"}),
                     how) {
    owner_path path;
    path.hold_jobs();
    const request_id running = path.submit(operation::write);
    path.submit(operation::write);
    const request_id waiting = path.submit(operation::write);
    BOOST_REQUIRE(path.held_jobs.size() == 2U);
    path.invalidate_placement(how);
    const std::string expected =
        std::string{"refused/"} + (std::string{how} == "leaving" ? "target_leaving" : "stale_view");
    BOOST_TEST(path.reply_to(waiting) == expected);
    BOOST_TEST(path.reply_to(path.submit(operation::write)) == expected);
    const bool is_replaced = std::string{how} == "other primary";
    BOOST_TEST(path.reply_to(running) == (is_replaced ? "unknown/term_superseded" : "waiting"));
    while (!path.held_jobs.empty()) {
        path.finish_held_job(job_done{0, 1, test_term, 3, {}, false});
    }
    BOOST_TEST(path.owner.in_progress() == 0U);
}

// Guards against returning data that a failover may lose. Also guards against a separate
// attestation for each read with max_staleness, which may rely on any attestation not older than
// that.
BOOST_AUTO_TEST_CASE(attestation_follows_max_staleness) {
    owner_path path;
    BOOST_TEST(path.reply_to(path.submit(operation::read)) == "done");
    BOOST_TEST(path.highest_attested == path.primary_position);
    path.advance_time(100ms);
    const int calls = path.control_calls;
    forward_request aged;
    aged.guard.max_age = 500ms;
    aged.target = test_target(1);
    BOOST_TEST(path.reply_to(path.submit(operation::read, aged)) == "done");
    BOOST_TEST(path.control_calls == calls);
    path.advance_time(500ms);
    BOOST_TEST(path.reply_to(path.submit(operation::read, aged)) == "done");
    BOOST_TEST(path.control_calls > calls);
}

// Guards against starting requests that cannot finish: requests whose deadline has passed although
// the timer has not run yet, and requests that start so late that a write would end as unknown.
BOOST_DATA_TEST_CASE(late_work_is_not_started, boost::unit_test::data::make({2'000, 40}),
                     milliseconds) {
    owner_path path;
    path.hold_jobs();
    path.submit(operation::write);
    path.advance_time(20ms);
    path.finish_held_job(job_done{0, 1, test_term, 3, {}, false});
    path.submit(operation::write);
    path.submit(operation::write);
    forward_request request;
    request.remaining = 50ms;
    const request_id waiting = path.submit(operation::write, request);
    path.now += milliseconds * 1ms;
    path.finish_held_job(job_done{0, 1, test_term, 3, {}, false});
    BOOST_TEST(path.reply_to(waiting) == "refused/deadline");
}

// Guards against running a request whose message is a duplicate or arrives after its cancellation.
BOOST_AUTO_TEST_CASE(request_numbers_run_once) {
    owner_path path;
    forward_request request;
    request.id = 50;
    path.submit(operation::write, request);
    path.submit(operation::write, request);
    BOOST_TEST(path.runs["S"] == 1);
    path.owner.cancel(path.now, host_id{"x"}, 51, path.actions);
    request.id = 51;
    path.submit(operation::write, request);
    BOOST_TEST(path.runs["S"] == 1);
}

// Guards against requests that outlive their deadline, and against accepting the result of a job
// whose connection was already abandoned.
BOOST_AUTO_TEST_CASE(deadline_ends_all_phases) {
    owner_path path;
    path.hold_jobs();
    const request_id write = path.submit(operation::write);
    const request_id read = path.submit(operation::read);
    const request_id waiting = path.submit(operation::write);
    const run_job abandoned = path.held_jobs.front();
    path.advance_time(1s);
    BOOST_TEST(path.reply_to(write) == "unknown/deadline");
    BOOST_TEST(path.reply_to(read) == "unknown/deadline");
    BOOST_TEST(path.reply_to(waiting) == "refused/deadline");
    BOOST_TEST(path.closed.size() == 2U);
    BOOST_TEST((path.closed.front() == abandoned.connection));
    path.owner.on_job_finished(path.now, {abandoned.connection, abandoned.job, job_done{}},
                               path.actions);
    path.run();
    BOOST_TEST(path.owner.in_progress() == 0U);
}

// Guards against idle transactions that hold a connection for ever, and against statements that run
// outside their transaction after its connection was lost.
BOOST_DATA_TEST_CASE(lost_transactions_are_reported,
                     boost::unit_test::data::make({"idle", "closed"}), how) {
    owner_path path;
    connection_id used = 0;
    path.on_job = [&](const run_job& job) {
        used = job.connection;
        return std::optional{path.model_result(job)};
    };
    const forward_request request = path.begin();
    if (std::string{how} == "idle") {
        path.advance_time(path.settings.transaction_idle_timeout, 1s);
        BOOST_TEST((path.closed == std::vector<connection_id>{used}));
    } else {
        path.owner.on_connection_closed(path.now, {used, test_target(0), false}, path.actions);
    }
    BOOST_TEST(path.owner.in_progress() == 0U);
    path.on_job = [](const run_job& /*job*/) -> std::optional<job_result> {
        BOOST_ERROR("a statement of a lost transaction ran");
        return std::nullopt;
    };
    BOOST_TEST(path.reply_to(path.submit(operation::in_transaction, request)) ==
               "failed/transaction_lost");
    BOOST_TEST(path.reply_to(path.submit(operation::commit, request)) ==
               "refused/invalid_transaction");
}

// Guards against two concurrent statements in one transaction, against a handle of another
// incarnation, and against a transaction that stays open after its entry host cancelled the begin.
BOOST_AUTO_TEST_CASE(transactions_belong_to_one_statement_and_one_session) {
    owner_path path;
    forward_request request = path.begin();
    path.hold_jobs();
    path.submit(operation::in_transaction, request);
    BOOST_TEST(path.reply_to(path.submit(operation::commit, request)) ==
               "refused/invalid_transaction");
    request.owner_incarnation += 1;
    BOOST_TEST(path.reply_to(path.submit(operation::commit, request)) ==
               "refused/invalid_transaction");
    path.finish_held_job(job_done{});
    path.on_job = [&path](const run_job& job) { return std::optional{path.model_result(job)}; };
    const request_id begun = path.submit(operation::begin);
    BOOST_TEST(path.owner.in_progress() == 2U);
    path.owner.cancel(path.now, host_id{"x"}, begun, path.actions);
    BOOST_TEST(path.owner.in_progress() == 1U);
}

// Guards against exceeding the halved connection budget while the previous owner may still have
// connections open, and against transactions that use up all connections.
BOOST_AUTO_TEST_CASE(connections_stay_within_the_budget) {
    owner_path path;
    const auto connections = [&path] { return path.owner.loads().front().connections; };
    BOOST_TEST(connections() == 4U);
    std::size_t begun = 0;
    for (int count = 0; count < 30; ++count) {
        begun += path.reply_to(path.submit(operation::begin)) == "done" ? 1 : 0;
    }
    BOOST_TEST(begun == 8U);
    BOOST_TEST(connections() == 10U);
    path.advance_time(path.settings.previous_owner_grace);
    BOOST_TEST(path.reply_to(path.submit(operation::begin)) == "done");
    BOOST_TEST(connections() <= 20U);
    BOOST_TEST(path.reply_to(path.submit(operation::read)) == "done");
}

// Guards against requests that stay queued for an unreachable target.
BOOST_AUTO_TEST_CASE(unreachable_target_refuses_at_once) {
    owner_path path;
    path.accepts_connections = false;
    for (const auto& [connection, target] : std::map{path.connections}) {
        path.owner.on_connection_closed(path.now, {connection, target, false}, path.actions);
    }
    const request_id waiting = path.submit(operation::read);
    BOOST_TEST(path.reply_to(waiting) == "refused/stale_view");
    BOOST_TEST(!path.replies.at(waiting).observation.reachable);
    BOOST_TEST(path.reply_to(path.submit(operation::read)) == "refused/stale_view");
    path.accepts_connections = true;
    path.advance_time(100ms);
    BOOST_TEST(path.reply_to(path.submit(operation::read)) == "done");
}

// Guards against admitting requests that cannot finish in time, and against short requests that
// wait behind statements measured as bulk.
BOOST_AUTO_TEST_CASE(load_is_refused_by_deadline) {
    owner_path path;
    path.hold_jobs();
    forward_request slow;
    slow.statement.sql = "slow";
    slow.remaining = 10s;
    path.submit(operation::read, slow);
    path.advance_time(200ms);
    path.finish_held_job(job_done{0, 0, test_term, 1, {}, false});
    for (int count = 0; count < 4; ++count) {
        path.submit(operation::read, slow);
    }
    // The statement was measured as bulk, so one slot stays free for short work.
    BOOST_TEST(path.held_jobs.size() == 1U);
    path.submit(operation::read);
    BOOST_TEST(path.held_jobs.size() == 2U);
    forward_request short_deadline;
    short_deadline.remaining = 20ms;
    const request_id refused_id = path.submit(operation::read, short_deadline);
    BOOST_TEST(path.reply_to(refused_id) == "refused/overloaded");
    const outcome& result = path.replies.at(refused_id).result;
    BOOST_TEST((std::get<refused>(result).retry_after > 0ms));
    BOOST_TEST(path.owner.loads().front().queued == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
