#include "fixed_seed.hpp"
#include "request_path.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace lovagemoor::core {

namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::uint64_t seed = 20261204;

execute_request changed(const std::function<void(execute_request&)>& change) {
    execute_request request = make_execute(access_mode::read);
    change(request);
    return request;
}

struct bad_call {
    const char* name;
    caller_request request;
    const char* expected;

    friend std::ostream& operator<<(std::ostream& output, const bad_call& value) {
        return output << value.name;
    }
};

std::string token_of(const service_id& service, term_number term, log_position position) {
    return token_sealer{"key"}.seal(session_token{service, {{test_group, term, position}}, 1});
}

std::string finished_handle(const host_id& host) {
    return token_sealer{"key"}.seal(
        transaction_handle{host, 7, test_service, test_group, test_target(0), test_term, 999});
}

const std::vector<bad_call> bad_calls{
    {"oversized statement",
     changed([](execute_request& r) { r.statement.sql = std::string(1'000'001, 'x'); }),
     "refused/invalid_request"},
    {"oversized parameters",
     changed([](execute_request& r) { r.statement.parameters = {std::string(1'000'001, 'x')}; }),
     "refused/invalid_request"},
    {"empty statement", changed([](execute_request& r) { r.statement.sql.clear(); }),
     "refused/invalid_request"},
    {"no timeout", changed([](execute_request& r) { r.timeout = 0ms; }), "refused/invalid_request"},
    {"negative staleness", changed([](execute_request& r) { r.max_staleness = -1ms; }),
     "refused/invalid_request"},
    {"oversized key", changed([](execute_request& r) {
         r.access = access_mode::write;
         r.idempotency_key = std::string(257, 'k');
     }),
     "refused/invalid_request"},
    // A target's client library takes a key up to its first NUL, which is another key.
    {"NUL in a key", changed([](execute_request& r) {
         r.access = access_mode::write;
         r.idempotency_key = std::string{"k\0l", 3};
     }),
     "refused/invalid_request"},
    {"garbage token", changed([](execute_request& r) { r.session_token = "garbage"; }),
     "refused/invalid_token"},
    {"token of another service",
     changed([](execute_request& r) { r.session_token = token_of(service_id{"rent"}, 5, 1); }),
     "refused/invalid_token"},
    {"unknown service", changed([](execute_request& r) { r.service = service_id{"none"}; }),
     "refused/unknown_service"},
    {"garbage handle", changed([](execute_request& r) { r.transaction = "garbage"; }),
     "refused/invalid_transaction"},
    {"handle of a finished transaction",
     changed([](execute_request& r) { r.transaction = finished_handle(host_id{"h"}); }),
     "refused/invalid_transaction"},
    {"commit of a finished transaction",
     end_request{transaction_end::commit, finished_handle(host_id{"h"}), 1s, {}},
     "refused/invalid_transaction"},
    {"handle of a host that is gone",
     changed([](execute_request& r) { r.transaction = finished_handle(host_id{"x"}); }),
     "refused/invalid_transaction"},
    {"commit without a handle", end_request{transaction_end::commit, {}, 1s, {}},
     "refused/invalid_transaction"},
    {"diverged session",
     changed([](execute_request& r) { r.session_token = token_of(test_service, 4, 50); }),
     "refused/session_diverged"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_service_test)

// Guards against a request path that loses an answer or leaves a request unfinished.
BOOST_AUTO_TEST_CASE(reads_and_writes_are_done) {
    request_path path;
    const request_id write = path.call(make_execute(access_mode::write));
    const request_id read = path.call(make_execute(access_mode::read));
    BOOST_TEST(path.summary(write) == "done");
    BOOST_TEST(path.summary(read) == "done");
    BOOST_TEST(path.rows_of_call[read] == 1U);
    BOOST_TEST(path.entry.in_progress() == 0U);
    BOOST_TEST(path.owner.in_progress() == 0U);
}

// Guards against invalid calls that reach a target, crash the host or are answered twice.
BOOST_DATA_TEST_CASE(bad_input_is_refused, boost::unit_test::data::make(bad_calls), bad) {
    request_path path;
    path.on_job = [](const run_job& /*job*/) -> std::optional<job_result> {
        BOOST_ERROR("the call reached a target");
        return std::nullopt;
    };
    const request_id id = path.call(bad.request);
    BOOST_TEST(path.summary(id) == bad.expected);
    BOOST_TEST(path.answered_twice == 0);
}

// Guards against statements that run on another connection than their transaction or after its end,
// and against a drain that prevents the commit of an open transaction.
BOOST_AUTO_TEST_CASE(transaction_runs_on_one_connection) {
    request_path path;
    std::vector<connection_id> used;
    path.on_job = [&](const run_job& job) {
        used.push_back(job.connection);
        return std::optional{path.model_result(job)};
    };
    begin_request begin{test_service, "k", urgency::normal, 1s, "key", {}};
    const request_id begun = path.call(begin);
    BOOST_REQUIRE(path.summary(begun) == "done");
    const std::string handle = path.answers.at(begun).transaction;
    execute_request statement = make_execute(access_mode::write);
    statement.transaction = handle;
    BOOST_TEST(path.summary(path.call(statement)) == "done");
    path.entry.drain(path.now, path.actions);
    path.owner.drain(path.now, path.actions);
    BOOST_TEST(path.summary(path.call(make_execute(access_mode::read))) == "refused/host_leaving");
    const end_request commit{transaction_end::commit, handle, 1s, {}};
    BOOST_TEST(path.summary(path.call(commit)) == "done");
    BOOST_TEST(path.summary(path.call(commit)) == "refused/invalid_transaction");
    BOOST_TEST(path.summary(path.call(statement)) == "refused/invalid_transaction");
    BOOST_TEST((used == std::vector<connection_id>(3, used.front())));
    BOOST_TEST(path.owner.in_progress() == 0U);
}

// Guards against refusing a call that a finished election or a newer view would allow, and against
// running a call after it was refused.
BOOST_DATA_TEST_CASE(calls_wait_for_the_view,
                     boost::unit_test::data::make({"promoted", "deadline", "token"}), ending) {
    request_path path;
    const std::string how = ending;
    execute_request request = make_execute(access_mode::write);
    if (how == "token") {
        request.session_token = token_of(test_service, test_term + 1, 10);
    } else {
        path.start_election(test_term + 1);
    }
    const request_id id = path.call(request);
    BOOST_TEST(path.summary(id) == "waiting");
    path.advance_time(500ms);
    if (how != "deadline") {
        path.set_primary(test_term + 1, test_target(1), 10);
        path.run();
        BOOST_TEST(path.summary(id) == "done");
    } else {
        path.advance_time(600ms);
        BOOST_TEST(path.summary(id) == "refused/no_primary");
        path.set_primary(test_term + 1, test_target(1), 10);
        path.run();
        BOOST_TEST(path.runs["S"] == 0);
    }
}

// Guards against a call that never ends when its answer is lost, and against answering it before
// the deadline has certainly passed at the owner.
BOOST_AUTO_TEST_CASE(missing_answer_ends_as_unknown) {
    request_path path;
    path.delivery_count = [](const peer_message& message) {
        return std::holds_alternative<forward_outcome>(message) ? 0 : 1;
    };
    const request_id id = path.call(make_execute(access_mode::read));
    path.advance_time(path.settings.deadline_grace + 990ms);
    BOOST_TEST(path.summary(id) == "waiting");
    path.advance_time(20ms);
    BOOST_TEST(path.summary(id) == "unknown/deadline");
}

// Guards against accepting an answer from a host to which the call was not sent.
BOOST_AUTO_TEST_CASE(answers_of_other_hosts_are_ignored) {
    request_path path;
    path.on_job = [](const run_job& /*job*/) { return std::optional<job_result>{}; };
    request_id attempt = 0;
    path.delivery_count = [&attempt](const peer_message& message) {
        const forward_request* request = std::get_if<forward_request>(&message);
        attempt = request == nullptr ? attempt : request->id;
        return 1;
    };
    const request_id id = path.call(make_execute(access_mode::read));
    forward_outcome forged;
    forged.id = attempt;
    forged.result = done{};
    path.entry.on_outcome(path.now, host_id{"other"}, forged, path.actions);
    path.run();
    BOOST_TEST(path.summary(id) == "waiting");
}

// Guards against a cancelled call that still occupies a slot or is answered.
BOOST_AUTO_TEST_CASE(cancelled_call_frees_its_slot) {
    request_path path;
    path.on_job = [](const run_job& /*job*/) { return std::optional<job_result>{}; };
    const request_id id = path.call(make_execute(access_mode::read));
    BOOST_REQUIRE(path.held_jobs.size() == 1U);
    path.entry.on_cancelled(path.now, {id}, path.actions);
    path.run();
    BOOST_TEST(path.summary(id) == "waiting");
    BOOST_TEST(path.held_jobs.empty());
    BOOST_TEST(path.owner.in_progress() == 0U);
    BOOST_TEST(path.closed.size() == 1U);
}

// Guards against reads that return older data than the session has seen or than the caller accepts.
// The test also shows that a router without guards would return stale data in these runs.
BOOST_AUTO_TEST_CASE(reads_are_never_stale) {
    int naive_stale = 0;
    int replica_reads = 0;
    const bool holds = holds_for_seed("reads_are_never_stale", seed, 100, [&] {
        request_path path;
        std::string token;
        log_position shown = 0;
        for (int step = 0; step < 20; ++step) {
            for (std::size_t replica = 1; replica < 3; ++replica) {
                const log_position lag = *rc::gen::inRange<log_position>(0, 4);
                path.positions[test_target(replica)] =
                    path.primary_position - std::min(path.primary_position, lag);
                path.ages[test_target(replica)] = 300ms * lag;
            }
            const bool is_write = *rc::gen::inRange(0, 3) == 0;
            execute_request request =
                make_execute(is_write ? access_mode::write : access_mode::read);
            request.session_token = token;
            request.max_staleness = 500ms;
            naive_stale += path.positions[test_target(1)] < shown ? 1 : 0;
            const request_id id = path.call(request);
            path.advance_time(2s, 50ms);
            RC_ASSERT(path.summary(id) == "done");
            token = path.answers.at(id).session_token;
            if (is_write) {
                shown = path.primary_position;
                continue;
            }
            const log_position value = std::stoull(path.last_value.at(id));
            RC_ASSERT(value >= shown);
            RC_ASSERT(value + 1 >= path.primary_position);
            replica_reads += value < path.primary_position ? 1 : 0;
            shown = value;
        }
    });
    BOOST_TEST(holds);
    BOOST_TEST(naive_stale > 0);
    BOOST_TEST(replica_reads > 0);
}

// Guards against running a write twice, and against reporting a write that ran as not run. The test
// also shows that retrying after every outcome except done would run some writes twice.
BOOST_AUTO_TEST_CASE(writes_run_at_most_once) {
    int naive_repeats = 0;
    const bool holds = holds_for_seed("writes_run_at_most_once", seed, 500, [&] {
        request_path path;
        const std::vector<int> faults =
            *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 8));
        std::size_t attempt = 0;
        const bool is_keyed = *rc::gen::arbitrary<bool>();
        path.on_job = [&](const run_job& job) -> std::optional<job_result> {
            const int fault = attempt < faults.size() ? faults[attempt] : 0;
            ++attempt;
            switch (fault) {
            case 1:
                return job_connection_lost{false};
            case 2:
                return job_connection_lost{true};
            case 3:
                path.model_result(job);
                return job_connection_lost{true};
            case 4:
                return job_error{sqlstate::read_only, {}};
            case 5:
                path.model_result(job);
                return std::nullopt;
            case 6: {
                // The target followed another primary before the job read the position.
                job_done result = std::get<job_done>(path.model_result(job));
                ++result.term;
                return result;
            }
            case 7:
                return job_error{"23514", {}};
            default:
                return path.model_result(job);
            }
        };
        path.delivery_count = [&](const peer_message& message) {
            return std::holds_alternative<forward_request>(message) ? *rc::gen::inRange(1, 3) : 1;
        };
        const request_id id =
            path.call(make_execute(access_mode::write, "S", is_keyed ? "key" : ""));
        path.advance_time(1'200ms, 20ms);
        const std::string summary = path.summary(id);
        RC_ASSERT(path.runs["S"] <= 1);
        RC_ASSERT(summary != "waiting");
        RC_ASSERT(summary != "done" || path.runs["S"] == 1);
        const bool is_denied = summary.starts_with("refused") || summary.starts_with("failed");
        RC_ASSERT(!is_denied || path.runs["S"] == 0);
        RC_ASSERT(path.answered_twice == 0);
        const bool ran_without_done = path.runs["S"] == 1 && summary != "done";
        naive_repeats += ran_without_done && !is_keyed ? 1 : 0;
    });
    BOOST_TEST(holds);
    BOOST_TEST(naive_repeats > 0);
}

// Guards against a retry in another group, which would not find the idempotency claim of the first
// attempt.
BOOST_AUTO_TEST_CASE(repeats_stay_in_their_group) {
    request_path path;
    std::vector<group_id> groups;
    path.delivery_count = [&groups](const peer_message& message) {
        const forward_request* request = std::get_if<forward_request>(&message);
        if (request != nullptr) {
            groups.push_back(request->group);
        }
        return 1;
    };
    path.on_job = [](const run_job& /*job*/) -> std::optional<job_result> {
        return job_connection_lost{true};
    };
    const request_id id = path.call(make_execute(access_mode::write, "S", "key"));
    configuration document = path.view.current_configuration();
    document.version = 2;
    document.services.front().groups = {group_id{"other"}};
    path.apply(document);
    path.view_changed();
    path.advance_time(1'200ms);
    BOOST_TEST(path.summary(id) == "unknown/connection_lost");
    BOOST_TEST(groups.size() > 1U);
    BOOST_TEST((groups == std::vector<group_id>(groups.size(), test_group)));
}

// Guards against a read that was refused for overload and waits for retry budget until its
// deadline.
BOOST_AUTO_TEST_CASE(overload_without_budget_is_refused_at_once) {
    request_path path;
    path.settings.max_queue_per_target = 0;
    execute_request request = make_execute(access_mode::read);
    request.max_staleness = 500ms;
    // More calls than the burst of the retry budget, so that the last ones find it exhausted.
    for (int count = 0; count < 200; ++count) {
        const request_id refused_read = path.call(request);
        path.advance_time(1ms);
        BOOST_REQUIRE(path.summary(refused_read) == "refused/overloaded");
    }
}

// Guards against reads that fail although a replica catches up in time, against retries beyond the
// budget, and against sending a read to a replica that was too old a moment ago.
BOOST_AUTO_TEST_CASE(reads_wait_for_replicas_within_the_budget) {
    request_path path;
    path.settings.retry_budget_ratio = 0;
    int jobs = 0;
    path.on_job = [&](const run_job& job) {
        ++jobs;
        return std::optional{path.model_result(job)};
    };
    for (std::size_t index = 0; index < 3; ++index) {
        path.ages[test_target(index)] = 900ms;
    }
    execute_request request = make_execute(access_mode::read);
    request.max_staleness = 500ms;
    const request_id waiting = path.call(request);
    path.advance_time(400ms);
    BOOST_TEST(path.summary(waiting) == "waiting");
    path.ages.clear();
    path.advance_time(400ms);
    BOOST_TEST(path.summary(waiting) == "done");
    path.ages[test_target(1)] = path.ages[test_target(2)] = 900ms;
    BOOST_TEST(path.summary(path.call(request)) == "done");
    jobs = 0;
    BOOST_TEST(path.summary(path.call(request)) == "done");
    BOOST_TEST(jobs == 1);
    path.on_job = [&jobs](const run_job& /*job*/) -> std::optional<job_result> {
        ++jobs;
        return job_error{sqlstate::behind, {}};
    };
    for (int count = 0; count < 50; ++count) {
        path.call(request);
    }
    path.advance_time(1'100ms);
    BOOST_TEST(jobs <= 151);
}

// Guards against reporting an incomplete result as done.
BOOST_AUTO_TEST_CASE(incomplete_rows_are_never_done) {
    const bool holds = holds_for_seed("incomplete_rows_are_never_done", seed, 300, [] {
        request_path path;
        const int batches = *rc::gen::inRange(1, 6);
        int results = 0;
        path.on_job = [&](const run_job& job) -> std::optional<job_result> {
            for (int batch = 0; batch < batches; ++batch) {
                path.owner.on_job_rows(path.now, {job.connection, job.job, {{"p"}, {{"v"}}}},
                                       path.actions);
            }
            return job_done{static_cast<std::uint64_t>(batches), 0, test_term, 10, {}, false};
        };
        path.delivery_count = [&](const peer_message& message) {
            results += std::holds_alternative<forward_outcome>(message) ? 1 : 0;
            // Rows of later attempts are always delivered, so that the retry succeeds.
            return std::holds_alternative<forward_rows>(message) && results < 2
                       ? *rc::gen::inRange(0, 3)
                       : 1;
        };
        const request_id id = path.call(make_execute(access_mode::read));
        path.advance_time(1'200ms, 20ms);
        RC_ASSERT(path.summary(id) == "done");
        RC_ASSERT(path.rows_of_call[id] == static_cast<std::size_t>(batches));
    });
    BOOST_TEST(holds);
}

// Guards against retrying a read after the caller has received rows of it, which would mix two
// results.
BOOST_AUTO_TEST_CASE(delivered_rows_prevent_a_retry) {
    request_path path;
    path.settings.max_buffered_result_bytes = 16;
    path.on_job = [&path](const run_job& job) -> std::optional<job_result> {
        path.owner.on_job_rows(path.now, {job.connection, job.job, {{"p"}, {{"value"}}}},
                               path.actions);
        path.run();
        return job_connection_lost{true};
    };
    const request_id id = path.call(make_execute(access_mode::read));
    path.advance_time(1'200ms);
    BOOST_TEST(path.rows_of_call[id] == 1U);
    BOOST_TEST(path.summary(id) == "unknown/connection_lost");
    // The second batch is lost, so the outcome announces more batches than arrive.
    path.delivery_count = [](const peer_message& message) {
        const forward_rows* rows = std::get_if<forward_rows>(&message);
        return rows != nullptr && rows->sequence == 1 ? 0 : 1;
    };
    path.on_job = [&path](const run_job& job) -> std::optional<job_result> {
        for (int batch = 0; batch < 2; ++batch) {
            path.owner.on_job_rows(path.now, {job.connection, job.job, {{"p"}, {{"value"}}}},
                                   path.actions);
        }
        return job_done{2, 0, test_term, 10, {}, false};
    };
    const request_id truncated = path.call(make_execute(access_mode::read));
    path.advance_time(1'200ms);
    BOOST_TEST(path.rows_of_call[truncated] == 1U);
    BOOST_TEST(path.summary(truncated) == "unknown/connection_lost");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
