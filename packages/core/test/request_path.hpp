#pragma once

#include <lovagemoor/core/acknowledger.hpp>
#include <lovagemoor/core/entry_service.hpp>
#include <lovagemoor/core/owner_service.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::core {

inline constexpr term_number test_term = 5;
inline const service_id test_service{"orders"};
inline const group_id test_group{"g"};

inline target_id test_target(std::size_t index) {
    return target_id{"t" + std::to_string(index)};
}

/// @brief Test fixture: one host that is both entry host and owner of a group of three modelled
/// targets, of which t0 is the primary. run() delivers the messages that the host sends to itself.
class request_path {
public:
    request_path()
        : view{host_record{host_id{"h"}, domain_id{"a"}, "tcp://h", "h:1", "h:2", false}, 7},
          acknowledgements{settings, view, ids},
          owner{settings, view, acknowledgements, ids},
          entry{settings, view, ids, token_sealer{"key"},
                [this](time_point at, const target_observation& seen) { view.observe(at, seen); }} {
        group_record group{test_group, {}};
        for (std::size_t index = 0; index < 3; ++index) {
            group.targets.push_back({test_target(index), domain_id{"a"}, "127.0.0.1", 1, false});
        }
        apply(group);
        configuration document;
        document.version = 1;
        service_record service;
        service.name = test_service;
        service.groups = {test_group};
        service.max_staleness = std::chrono::milliseconds{10'000};
        document.services = {service};
        apply(document);
        set_primary(test_term, test_target(0));
        run();
    }

    template <typename Record>
    void apply(const Record& record) {
        view.apply({++revision_, record});
    }

    /// @brief Makes a target the primary of a term that starts at the position `start`.
    void set_primary(term_number term, const target_id& primary, log_position start = 1) {
        history_.push_back({term, start});
        model_term = term;
        apply(term_record{test_group, term, term_phase::serving, {}, primary, history_});
        view_changed();
    }

    void start_election(term_number term) {
        apply(term_record{test_group, term, term_phase::electing, {}, {}, history_});
        view_changed();
    }

    void view_changed() {
        owner.on_view_changed(now, actions);
        entry.on_view_changed(now, actions);
    }

    request_id call(caller_request request) {
        entry.on_caller(now, {++last_call_, std::move(request)}, actions);
        run();
        return last_call_;
    }

    /// @brief Advances the clock in steps and runs the timers after each step.
    void advance_time(duration time, duration step = std::chrono::milliseconds{10}) {
        for (const time_point end = now + time; now < end;) {
            now += step;
            owner.on_timer(now, actions);
            entry.on_timer(now, actions);
            acknowledgements.on_timer(now, actions);
            run();
        }
    }

    /// @brief Performs actions until none is left.
    void run() {
        for (bool is_idle = false; !is_idle;) {
            for (const acknowledgement& result : acknowledgements.take_finished()) {
                owner.on_acknowledged(now, result, actions);
            }
            is_idle = actions.empty();
            const action_list batch = std::exchange(actions, {});
            for (const action& next : batch) {
                std::visit([this](const auto& value) { perform(value); }, next);
            }
        }
    }

    /// @brief Finishes the oldest held job with the given result.
    void finish_held_job(job_result result) {
        const run_job job = held_jobs.front();
        held_jobs.pop_front();
        owner.on_job_finished(now, {job.connection, job.job, std::move(result)}, actions);
        run();
    }

    [[nodiscard]] const outcome* outcome_of(request_id id) const {
        const auto found = answers.find(id);
        return found == answers.end() ? nullptr : &found->second.result;
    }

    /// @return "waiting" for an unanswered call, "done", or the kind of outcome with its reason,
    /// such as "refused/no_primary".
    [[nodiscard]] std::string summary(request_id id) const {
        const outcome* result = outcome_of(id);
        if (result == nullptr) {
            return "waiting";
        }
        return std::visit(
            [result](const auto& value) {
                std::string text = outcome_kind(*result);
                if constexpr (requires { value.reason; }) {
                    text += std::string{"/"} + to_string(value.reason);
                }
                return text;
            },
            *result);
    }

    core_settings settings;
    cluster_view view;
    id_source ids;
    acknowledger acknowledgements;
    owner_service owner;
    entry_service entry;
    action_list actions;
    time_point now{std::chrono::seconds{1'000}};
    std::map<request_id, answer_caller> answers;
    std::map<request_id, std::size_t> rows_of_call;
    std::map<request_id, std::string> last_value;
    /// Returns the result of a job; if it returns nothing, the job is held until finish_held_job().
    std::function<std::optional<job_result>(const run_job&)> on_job = [this](const run_job& job) {
        return std::optional{model_result(job)};
    };
    /// Returns how often a message is delivered; 0 drops it.
    std::function<int(const peer_message&)> delivery_count = [](const peer_message&) { return 1; };
    std::deque<run_job> held_jobs;
    std::vector<connection_id> closed;
    std::map<connection_id, target_id> connections;
    /// Number of times that each statement took effect, by SQL text.
    std::map<std::string, int> runs;
    std::map<std::string, bool> claims;
    std::map<target_id, log_position> positions;
    std::map<target_id, std::chrono::milliseconds> ages;
    log_position primary_position = 10;
    term_number model_term = test_term;
    bool attests = true;
    int control_calls = 0;
    /// Highest position for which an attestation was requested.
    log_position highest_attested = 0;
    bool accepts_connections = true;

    /// @brief Models a target: checks the guards of reads, counts writes and stores idempotency
    /// claims.
    job_result model_result(const run_job& job) {
        if (const read_job* read = std::get_if<read_job>(&job.work)) {
            const target_id& target = connections[job.connection];
            const log_position position =
                positions.contains(target) ? positions[target] : primary_position;
            if (position < read->guard.position) {
                return job_error{sqlstate::behind, {}};
            }
            if (read->guard.max_age.has_value() && ages[target] > *read->guard.max_age) {
                return job_error{sqlstate::too_old, {}};
            }
            owner.on_job_rows(now, {job.connection, job.job, {{"p"}, {{std::to_string(position)}}}},
                              actions);
            return job_done{1, 0, model_term, position, ages[target], false};
        }
        if (const write_job* write = std::get_if<write_job>(&job.work)) {
            const bool replayed = write->claim.has_value() && claims[write->claim->key];
            if (!replayed) {
                ++runs[write->statement.sql];
                ++primary_position;
            }
            if (write->claim.has_value()) {
                claims[write->claim->key] = true;
            }
            return job_done{0, 1, model_term, primary_position, {}, replayed};
        }
        const bool has_position = std::holds_alternative<commit_job>(job.work);
        return job_done{
            0, 0, has_position ? model_term : 0, has_position ? primary_position : 0, {}, false};
    }

private:
    void perform(const send_to_peer& value) {
        const int count = delivery_count(value.message);
        for (int copy = 0; copy < count; ++copy) {
            deliver(value.message);
        }
    }

    void deliver(const peer_message& message) {
        const host_id self{"h"};
        if (const forward_request* request = std::get_if<forward_request>(&message)) {
            owner.submit(now, self, *request, actions);
        } else if (const forward_rows* rows = std::get_if<forward_rows>(&message)) {
            entry.on_rows(now, self, *rows, actions);
        } else if (const forward_outcome* result = std::get_if<forward_outcome>(&message)) {
            entry.on_outcome(now, self, *result, actions);
        } else if (const forward_cancel* cancel = std::get_if<forward_cancel>(&message)) {
            owner.cancel(now, self, cancel->id, actions);
        }
    }

    void perform(const open_connection& value) {
        if (!accepts_connections) {
            owner.on_connection_closed(now, {value.connection, value.target.id, false}, actions);
            return;
        }
        connections[value.connection] = value.target.id;
        owner.on_connection_opened(now, {value.connection, value.target.id}, actions);
    }

    void perform(const close_connection& value) {
        closed.push_back(value.connection);
        std::erase_if(held_jobs,
                      [&value](const run_job& job) { return job.connection == value.connection; });
    }

    void perform(const run_job& value) {
        if (std::holds_alternative<reset_job>(value.work)) {
            owner.on_job_finished(now, {value.connection, value.job, job_done{}}, actions);
            return;
        }
        const std::optional<job_result> result = on_job(value);
        if (result.has_value()) {
            owner.on_job_finished(now, {value.connection, value.job, *result}, actions);
        } else {
            held_jobs.push_back(value);
        }
    }

    void perform(const call_control& value) {
        const attest_call* attest = std::get_if<attest_call>(&value.request);
        ++control_calls;
        highest_attested = std::max(highest_attested, attest == nullptr ? 0 : attest->position);
        control_result reply = control_unreachable{};
        if (attest != nullptr && attests) {
            reply = promise_reply{model_term, model_term, attest->position};
        }
        acknowledgements.on_control_finished(now, {value.call, value.target.id, reply}, actions);
    }

    void perform(const answer_caller& value) {
        if (!answers.emplace(value.id, value).second) {
            ++answered_twice;
        }
    }

    void perform(const send_rows_to_caller& value) {
        rows_of_call[value.id] += value.batch.rows.size();
        last_value[value.id] = value.batch.rows.back().front().value_or("");
    }

    template <typename Other>
    void perform(const Other& /*value*/) {}

    std::int64_t revision_ = 0;
    std::vector<term_start> history_;
    request_id last_call_ = 0;

public:
    int answered_twice = 0;
};

inline execute_request make_execute(access_mode access, const std::string& sql = "S",
                                    const std::string& key = {}) {
    execute_request request;
    request.service = test_service;
    request.shard_key = "k";
    request.statement.sql = sql;
    request.access = access;
    request.timeout = std::chrono::seconds{1};
    request.idempotency_key = key;
    return request;
}

} // namespace lovagemoor::core
