#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <lovagemoor/core/overloaded.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Services without a statement for this long are not probed for new log positions.
constexpr core::duration service_idle_after = std::chrono::seconds{10};

} // namespace

} // namespace internal

void session_engine::enforce_time_limits() {
    std::vector<session_id> expired;
    for (auto& [id, caller] : sessions_) {
        if (caller.current.has_value()) {
            if (now_ >= caller.current->deadline) {
                expired.push_back(id);
            }
        } else if (caller.transaction.has_value() && configuration_.has_value() &&
                   !caller.transaction_error.has_value() &&
                   now_ - caller.transaction->idle_since >
                       configuration_->transaction_idle_timeout) {
            log(core::log_event::level::info, "transaction_idle",
                {{"session", std::to_string(id)}});
            release_transaction_connection(caller);
            caller.transaction_error = statement_error{
                statement_error_kind::aborted, "transaction idle for too long", std::nullopt};
        }
    }
    for (const session_id id : expired) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second.current.has_value()) {
            time_out_request(found->second);
        }
    }
}

bool session_engine::answer_overdue(const target_connection& connection) const {
    if (connection.expected.empty()) {
        return false;
    }
    const expected_reply& next = connection.expected.front();
    switch (next.role) {
    case reply_role::probe:
        return now_ - next.sent > settings_.probe_timeout;
    case reply_role::check_end:
    case reply_role::release:
    case reply_role::inspection:
        return now_ - next.sent > settings_.command_timeout;
    case reply_role::preparation:
    case reply_role::leadership_check:
    case reply_role::transaction_begin:
    case reply_role::caller_statement:
        // The time limit of the caller's statement holds.
        return false;
    }
    return false;
}

void session_engine::close_unneeded_connections() {
    std::vector<core::connection_id> unresponsive;
    for (const auto& [id, connection] : pool_.connections()) {
        if (answer_overdue(connection)) {
            unresponsive.push_back(id);
        }
    }
    close_excess_connections();
    for (const core::connection_id id : unresponsive) {
        const target_connection* const connection = pool_.find(id);
        if (connection == nullptr) {
            continue;
        }
        const core::target_id target = connection->target;
        const expected_reply overdue = connection->expected.front();
        const bool probe = overdue.role == reply_role::probe;
        const bool borrowed = connection->holder.has_value();
        log(core::log_event::level::warning, probe ? "probe_unanswered" : "command_unanswered",
            {{"target", target.value}});
        if (borrowed) {
            const target_connection lost = *connection;
            pool_.erase(id);
            out_.emplace_back(close_target{id});
            avoided_holders_.on_target_failed(now_, *lost.holder, target);
            on_loan_lost(lost, target_close_reason::timed_out);
            continue;
        }
        if (probe) {
            on_target_failure(target, overdue.sent);
        }
        drop_connection(id);
    }
}

void session_engine::close_excess_connections() {
    for (const core::connection_id id : excess_connections()) {
        out_.emplace_back(close_target{id});
        pool_.erase(id);
    }
}

std::vector<core::connection_id> session_engine::excess_connections() const {
    std::vector<core::connection_id> excess;
    for (const auto& [id, target] : pool_.targets()) {
        const std::size_t required = target.min_connections;
        const core::duration longest = target.min_connections > 0
                                           ? settings_.excess_idle_timeout
                                           : settings_.scarce_excess_idle_timeout;
        std::size_t open = target.own_connections();
        // Idle connections are sorted by their last use.
        for (const core::connection_id connection : target.idle) {
            const core::time_point since = pool_.connections().at(connection).last_used;
            if (open <= required || now_ - since < longest) {
                break;
            }
            excess.push_back(connection);
            --open;
        }
    }
    return excess;
}

void session_engine::update_startup() {
    const core::time_point quiet_since = std::max(*started_at_, last_limit_refusal_);
    if (starting_ && (now_ - *started_at_ >= settings_.startup_time ||
                      now_ - quiet_since >= settings_.startup_quiet_time)) {
        starting_ = false;
        min_connections_outdated_ = true;
    }
}

void session_engine::update_targets() {
    if (min_connections_outdated_) {
        update_min_connections();
    }
    std::vector<core::target_id> gone;
    for (auto& [id, target] : pool_.targets()) {
        if (!target.removed_at.has_value()) {
            maintain_connection(target);
        } else if (now_ - *target.removed_at >= settings_.removal_grace && target.in_use == 0 &&
                   !may_hold_commits(target)) {
            gone.push_back(id);
        }
    }
    for (const core::target_id& id : gone) {
        forget_target(id);
    }
}

void session_engine::maintain_connection(target_state& target) {
    if (target.connections() == 0) {
        const bool rate_limited =
            !starting_ && now_ - last_preconnect_ < settings_.preconnect_pause;
        if (target.min_connections > 0 && !rate_limited && open_connection(target) != 0) {
            last_preconnect_ = now_;
        }
        return;
    }
    const core::time_point last = std::max(target.last_answered, target.last_probe);
    if (target.min_connections > 0 && now_ - last > settings_.contact_interval) {
        probe(target);
    }
}

void session_engine::update_service(const core::service_id& id, service_state& state) {
    if (!state.waiting.empty()) {
        dispatch_waiting(id);
    }
    repeat_withdrawal(id, state);
    restore_lost_demotion(id, state);
    if (now_ - state.last_use > internal::service_idle_after) {
        return;
    }
    recheck_failed_targets(id);
    update_lease(id, state);
    target_state* const target = primary_of(state);
    if (target != nullptr) {
        state.missing_since.reset();
    } else if (!state.missing_since.has_value()) {
        state.missing_since = now_;
    }
    update_suspicion(id, state);
    if (target == nullptr || is_failing(state)) {
        probe_all_targets(id, state);
        return;
    }
    const core::duration interval = check_interval_of(id, *target);
    const std::optional<core::time_point> newest = state.checks.newest();
    const bool due = !newest.has_value() || now_ - *newest > interval;
    if (due && now_ - state.last_probe > interval / 2) {
        state.last_probe = now_;
        probe(*target);
    }
}

core::duration session_engine::check_interval_of(const core::service_id& service,
                                                 const target_state& primary) const {
    core::duration interval = settings_.check_interval;
    if (primary.own_connections() > 0 || primary.min_connections > 0 ||
        !configuration_.has_value()) {
        return interval;
    }
    for (const auto& [database, via] : configuration_->routes) {
        if (via->service == service) {
            interval = std::max<core::duration>(interval,
                                                via->max_staleness - settings_.scarce_check_margin);
        }
    }
    return interval;
}

void session_engine::probe_all_targets(const core::service_id& id, service_state& state) {
    if (now_ - state.last_probe < settings_.search_interval) {
        return;
    }
    state.last_probe = now_;
    for (target_state* const target : pool_.of_service(id)) {
        probe(*target);
    }
}

void session_engine::probe(target_state& target) {
    target_connection* const connection = pool_.acquire(target, 0, std::nullopt, now_);
    if (connection == nullptr) {
        // Borrowed connections are returned at once, so that others hardly ever find one idle.
        if (target.through_holders ? target.checking == 0 : target.connections() == 0) {
            open_check_connection(target);
        }
        return;
    }
    target.last_probe = now_;
    send(*connection, {target_command{command_kind::begin, {}, {}, {}, std::nullopt, 0}},
         reply_role::probe);
    send(*connection, {target_command{command_kind::rollback, {}, {}, {}, std::nullopt, 0}},
         reply_role::check_end);
}

void session_engine::advance_shutdown() {
    if (!stopping_since_.has_value()) {
        return;
    }
    const core::duration since = now_ - *stopping_since_;
    std::vector<session_id> idle;
    for (auto& [id, caller] : sessions_) {
        caller.close_when_idle = true;
        if (refuses_statements() && caller.output_above_limit) {
            caller.output_above_limit = false;
            resumable_.push_back(id);
        }
        if (refuses_statements() && may_end(caller, session_end::stopping)) {
            idle.push_back(id);
        }
    }
    close_sessions(idle, session_end::stopping);
    if (since > settings_.stop_grace - settings_.stop_grace / unsent_grace_divisor) {
        refuse_unsent_requests();
    }
    if (since > settings_.stop_grace - settings_.stop_grace / running_grace_divisor) {
        give_up_running_requests();
    }
    const bool must_end = since > settings_.stop_grace - settings_.stop_grace / final_grace_divisor;
    if (must_end) {
        for (const auto& [id, caller] : sessions_) {
            report_unanswered(caller, session_end::stopping);
        }
    }
    if ((sessions_.empty() && refuses_statements()) || must_end) {
        out_.emplace_back(stop_process{});
    }
}

void session_engine::refuse_unsent_requests() {
    give_up_requests([](const request& work) { return work.phase != request_phase::running; });
}

void session_engine::give_up_running_requests() {
    give_up_requests([](const request& /*work*/) { return true; });
}

void session_engine::give_up_requests(const std::function<bool(const request&)>& selected) {
    std::vector<session_id> candidates;
    for (const auto& [id, caller] : sessions_) {
        if (caller.current.has_value() && selected(*caller.current)) {
            candidates.push_back(id);
        }
    }
    for (const session_id id : candidates) {
        // The end of another request may have ended this one.
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second.current.has_value()) {
            give_up_request(found->second, "this host is stopping", std::chrono::milliseconds{0});
        }
    }
}

void session_engine::forget_removed_hosts() {
    const std::size_t forgotten = std::erase_if(hosts_, [this](const auto& entry) {
        return entry.second.removed_at.has_value() &&
               now_ - *entry.second.removed_at > settings_.removed_host_retention;
    });
    min_connections_outdated_ = min_connections_outdated_ || forgotten > 0;
}

} // namespace lovagemoor::proxy
