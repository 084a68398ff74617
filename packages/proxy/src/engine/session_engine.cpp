#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Interval between periodic updates. Limits the delay with which timeouts are detected.
constexpr core::duration periodic_interval = std::chrono::milliseconds{25};

} // namespace

} // namespace internal

session_engine::session_engine(session_engine_settings settings)
    : settings_{std::move(settings)}, quota_client_{settings_.quota} {}

action_list session_engine::handle(core::time_point now, const event& input) {
    now_ = now;
    if (!started_at_.has_value()) {
        started_at_ = now;
    }
    out_.clear();
    std::visit([this](const auto& specific) { on(specific); }, input);
    resume_sessions();
    if (now_ - last_periodic_run_ >= internal::periodic_interval) {
        on(timer_expired{});
        resume_sessions();
    }
    return std::exchange(out_, {});
}

core::time_point session_engine::next_wakeup() const {
    return last_periodic_run_ + internal::periodic_interval;
}

void session_engine::on(const session_opened& input) {
    session& caller = sessions_[input.session];
    caller.id = input.session;
    caller.database = input.database;
    caller.key = input.key;
    caller.last_output = now_;
    const std::shared_ptr<const route> via = find_route(input.database);
    if (configuration_.has_value() && via == nullptr) {
        out_.emplace_back(reject_session{
            input.session, {statement_error_kind::unknown_database, "no route", std::nullopt}});
        sessions_.erase(input.session);
        return;
    }
    if (via != nullptr) {
        const identification caller_identity = identify(caller, *via);
        if (!caller_identity &&
            caller_identity.error().kind == statement_error_kind::not_authorized) {
            log(core::log_event::level::info, "session_rejected",
                {{"session", std::to_string(input.session)},
                 {"database", input.database},
                 {"reason", caller_identity.error().text}});
            out_.emplace_back(reject_session{input.session, caller_identity.error()});
            sessions_.erase(input.session);
            return;
        }
    }
    out_.emplace_back(accept_session{input.session});
}

void session_engine::on(const statement_received& input) {
    const auto found = sessions_.find(input.session);
    if (found == sessions_.end()) {
        return;
    }
    session& caller = found->second;
    if (caller.current.has_value() && caller.backlog.size() >= settings_.max_backlog) {
        log(core::log_event::level::warning, "session_closed",
            {{"session", std::to_string(caller.id)}, {"reason", "too many statements ahead"}});
        out_.emplace_back(close_session{caller.id, session_end::too_many_statements});
        on(session_closed{caller.id, session_end::too_many_statements});
        return;
    }
    caller.backlog.push_back(input.statement);
    resumable_.push_back(caller.id);
}

void session_engine::on(const session_closed& input) {
    const auto found = sessions_.find(input.session);
    if (found == sessions_.end()) {
        return;
    }
    session& caller = found->second;
    report_unanswered(caller, input.reason);
    if (input.reason == session_end::connection_timed_out) {
        log(core::log_event::level::info, "session_timed_out",
            {{"session", std::to_string(caller.id)}, {"database", caller.database}});
        count("lovagemoor_sessions_timed_out_total", {});
    }
    if (caller.transaction.has_value() && !caller.current.has_value()) {
        detach_transaction(caller);
    }
    if (caller.transaction.has_value() && caller.transaction->connection.has_value()) {
        // The target may be running a statement of the transaction, which is rolled back by closing
        // the connection.
        drop_connection(*caller.transaction->connection);
    }
    for (auto& [service, state] : services_) {
        std::erase(state.waiting, input.session);
    }
    if (caller.current.has_value()) {
        cancel_loan(*caller.current);
    }
    sessions_.erase(found);
}

void session_engine::on(const session_output_changed& input) {
    const auto found = sessions_.find(input.session);
    if (found == sessions_.end()) {
        return;
    }
    // Later in a stop, statements outside of transactions are refused, and transactions must end.
    found->second.output_above_limit = input.above_limit && !refuses_statements();
    resumable_.push_back(input.session);
}

void session_engine::on(const timer_expired& /*input*/) {
    last_periodic_run_ = now_;
    enforce_time_limits();
    close_finished_sessions();
    close_unneeded_connections();
    give_up_slow_holders();
    update_startup();
    apply_held_entries();
    update_targets();
    forget_removed_hosts();
    quota_client_.expire(now_);
    update_isolation();
    update_ready();
    if (!demotions_requested_at_.has_value() || demotions_list_due_) {
        request_demotions();
    }
    for (auto& [id, state] : services_) {
        update_service(id, state);
    }
    send_pending_inspections();
    advance_failovers();
    advance_shutdown();
}

void session_engine::on(const stop_requested& /*input*/) {
    if (!stopping_since_.has_value()) {
        stopping_since_ = now_;
        log(core::log_event::level::info, "stopping",
            {{"sessions", std::to_string(sessions_.size())}});
        update_ready();
    }
}

void session_engine::log(core::log_event::level severity, std::string name,
                         std::vector<std::pair<std::string, std::string>> fields) {
    out_.emplace_back(core::log_event{severity, std::move(name), std::move(fields)});
}

void session_engine::count(std::string name,
                           std::vector<std::pair<std::string, std::string>> labels) {
    out_.emplace_back(core::count_metric{std::move(name), std::move(labels)});
}

} // namespace lovagemoor::proxy
