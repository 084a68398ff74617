#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Divisor for the weight of a new sample in the moving average of a target's latency.
constexpr int latency_weight = 8;

/// @return False if a successful reply cannot be the one to a command of the role: an answer was
/// lost, and this one belongs to a later command.
bool may_answer(reply_role role, const statement_result& result) noexcept {
    if (result.error.has_value()) {
        return true;
    }
    if (role == reply_role::caller_statement) {
        // Only answers to commands of this host carry no signature.
        return !result.signature.empty();
    }
    const bool in_transaction = result.state == session_state::in_transaction;
    switch (role) {
    case reply_role::leadership_check:
    case reply_role::probe:
    case reply_role::transaction_begin:
        return in_transaction && result.signature.empty();
    case reply_role::check_end:
    case reply_role::release:
        return !in_transaction && result.signature.empty();
    default:
        return result.signature.empty();
    }
}

} // namespace

} // namespace internal

const char* to_string(target_close_reason reason) noexcept {
    switch (reason) {
    case target_close_reason::refused:
        return "refused";
    case target_close_reason::timed_out:
        return "timed_out";
    case target_close_reason::connection_limit:
        return "connection_limit";
    case target_close_reason::wrong_target:
        return "wrong_target";
    case target_close_reason::closed:
        return "closed";
    case target_close_reason::malformed:
        return "malformed";
    case target_close_reason::holder_lost:
        return "holder_lost";
    case target_close_reason::holder_stopping:
        return "holder_stopping";
    case target_close_reason::holder_busy:
        return "holder_busy";
    }
    return "closed";
}

void session_engine::on(const target_connected& input) {
    target_connection* const connection = pool_.find(input.connection);
    if (connection == nullptr) {
        out_.emplace_back(close_target{input.connection});
        return;
    }
    if (connection->holder.has_value()) {
        on_lent(*connection, input.clean);
        return;
    }
    pool_.on_opened(*connection, now_);
    on_target_contact(connection->target);
    if (target_state* const target = pool_.find(connection->target)) {
        target->connect_failures = 0;
        const core::service_id service = target->record.service;
        dispatch_waiting(service);
        const service_state& state = services_[service];
        const std::optional<core::time_point> newest = state.checks.newest();
        if (target->min_connections == 0 && state.view.primary() == target->record.id &&
            (!newest.has_value() || now_ - *newest > settings_.check_interval)) {
            probe(*target);
        }
    }
}

void session_engine::on(const target_replied& input) {
    target_connection* const connection = pool_.find(input.connection);
    if (connection == nullptr) {
        return;
    }
    if (connection->expected.empty()) {
        log(core::log_event::level::warning, "unexpected_reply",
            {{"target", connection->target.value}});
        drop_connection(input.connection);
        return;
    }
    const expected_reply expected = connection->expected.front();
    connection->expected.pop_front();
    if (connection->holder.has_value()) {
        avoided_holders_.on_answered(now_, *connection->holder);
    }
    on_target_contact(connection->target);
    record_answer(connection->target, expected.sent);
    const statement_result& result = input.reply.result;
    if (!internal::may_answer(expected.role, result)) {
        log(core::log_event::level::warning, "mismatched_reply",
            {{"target", connection->target.value}});
        drop_connection(input.connection);
        return;
    }
    const auto user = sessions_.find(connection->user);
    session* const caller = user != sessions_.end() && user->second.current.has_value() &&
                                    user->second.current->connection == connection->id
                                ? &user->second
                                : nullptr;
    switch (expected.role) {
    case reply_role::leadership_check:
    case reply_role::probe:
        on_leadership_reply(*connection, expected, result);
        break;
    case reply_role::transaction_begin:
        if (caller != nullptr) {
            on_begin_reply(*caller, *connection, expected, result);
        } else if (!result.error.has_value()) {
            send(*connection, {target_command{command_kind::rollback, {}, {}, {}, {}, 0}},
                 reply_role::release);
        }
        break;
    case reply_role::caller_statement:
        if (caller != nullptr) {
            on_statement_reply(*caller, *connection, expected, result);
        }
        break;
    case reply_role::preparation:
        if (result.error.has_value()) {
            on_preparation_error(*connection, *result.error);
        }
        break;
    case reply_role::inspection:
        if (input.reply.status.has_value()) {
            on_inspected(core::target_id{connection->target}, *input.reply.status);
        }
        break;
    case reply_role::release:
    case reply_role::check_end:
        on_rollback_reply(caller, *connection, result);
        break;
    }
    if (target_connection* const still_open = pool_.find(input.connection)) {
        release_when_idle(*still_open);
    }
    if (expected.role == reply_role::check_end) {
        close_if_only_checking(input.connection);
    }
}

void session_engine::on_preparation_error(const target_connection& connection,
                                          const statement_error& error) {
    if (error.kind == statement_error_kind::not_prepared) {
        // The answer to the deallocation of an evicted name that the target has dropped.
        return;
    }
    log(core::log_event::level::warning, "preparation_failed",
        {{"target", connection.target.value},
         {"connection", std::to_string(connection.id)},
         {"session", std::to_string(connection.user)},
         {"error", to_string(error.kind)},
         {"reason", error.text}});
    drop_connection(connection.id);
}

void session_engine::on_rollback_reply(session* caller, target_connection& connection,
                                       const statement_result& result) {
    if (result.error.has_value() || result.state != session_state::idle) {
        // The next statement would run in the transaction that is still open.
        log(core::log_event::level::warning, "rollback_failed",
            {{"target", connection.target.value}, {"connection", std::to_string(connection.id)}});
        drop_connection(connection.id);
        return;
    }
    if (caller != nullptr && caller->current->phase == request_phase::confirmed) {
        send_statement(*caller, connection, {});
    }
}

void session_engine::on_inspected(const core::target_id& inspected, const target_status& status) {
    const target_state* const target = pool_.find(inspected);
    if (!status.primary) {
        refute_primary(inspected);
    } else if (target != nullptr) {
        primary_view& view = services_[target->record.service].view;
        view.on_leading(inspected, status.term);
        const std::optional<core::term_number> demoted = view.demotion_term(inspected);
        if (demoted.has_value()) {
            // It was out of reach when its demotion was announced. No host uses it in this term, so
            // it is no newer primary for which a failover would end.
            inspect_target(inspected, command_kind::step_down, *demoted);
            send_pending_inspections();
            return;
        }
    }
    if (target != nullptr) {
        failover_coordinator_.on_status(now_, target->record.service, inspected, status);
        advance_failovers();
    }
}

void session_engine::close_if_only_checking(core::connection_id id) {
    const target_connection* const connection = pool_.find(id);
    if (connection == nullptr || connection->phase != connection_phase::idle ||
        connection->user != 0) {
        return;
    }
    const target_state* const target = pool_.find(connection->target);
    if (target != nullptr && target->min_connections == 0) {
        out_.emplace_back(close_target{id});
        pool_.erase(id);
    }
}

void session_engine::release_when_idle(target_connection& connection) {
    if (connection.phase != connection_phase::in_use || !connection.expected.empty()) {
        return;
    }
    const auto user = sessions_.find(connection.user);
    if (user != sessions_.end()) {
        const session& caller = user->second;
        const bool pinned =
            caller.transaction.has_value() && caller.transaction->connection == connection.id;
        const bool serving = caller.current.has_value() &&
                             caller.current->connection == connection.id &&
                             caller.current->phase != request_phase::waiting;
        if (pinned || serving) {
            return;
        }
    }
    const core::connection_id id = connection.id;
    pool_.release(connection, now_);
    if (const target_state* const target = pool_.find(connection.target)) {
        dispatch_waiting(core::service_id{target->record.service});
    }
    return_if_idle(id);
}

void session_engine::on_leadership_reply(target_connection& connection,
                                         const expected_reply& expected,
                                         const statement_result& result) {
    const core::target_id target = connection.target;
    const core::connection_id id = connection.id;
    bool leads = !result.error.has_value() && result.position.has_value();
    if (leads) {
        leads = confirm_primary(target, expected.sent, *result.position);
    } else if (result.error.has_value() && result.error->kind == statement_error_kind::read_only) {
        refute_primary(target);
    }
    if (expected.role == reply_role::probe) {
        return;
    }
    const auto user = sessions_.find(connection.user);
    if (user == sessions_.end() || !user->second.current.has_value() ||
        user->second.current->connection != id) {
        return;
    }
    session& caller = user->second;
    if (leads) {
        caller.current->phase = request_phase::confirmed;
        return;
    }
    retry_or_refuse(caller, target,
                    result.error.value_or(statement_error{statement_error_kind::busy,
                                                          "no log position", std::nullopt}));
}

void session_engine::on_begin_reply(session& caller, target_connection& connection,
                                    const expected_reply& expected,
                                    const statement_result& result) {
    const core::target_id target = connection.target;
    const bool on_primary = caller.current->check_leadership;
    if (!result.error.has_value()) {
        if (on_primary && result.position.has_value() &&
            !confirm_primary(target, expected.sent, *result.position)) {
            send(connection, {target_command{command_kind::rollback, {}, {}, {}, {}, 0}},
                 reply_role::release);
            retry_or_refuse(caller, target,
                            {statement_error_kind::busy, "no longer the primary", std::nullopt});
            return;
        }
        caller.transaction->connection = connection.id;
        caller.transaction->target = target;
        send_statement(caller, connection, {});
        return;
    }
    if (on_primary && result.error->kind == statement_error_kind::read_only) {
        refute_primary(target);
    }
    if (result.error->kind == statement_error_kind::lagging) {
        if (target_state* const state = pool_.find(target)) {
            state->lagging_until = now_ + settings_.lagging_pause;
        }
    }
    retry_or_refuse(caller, target, *result.error);
}

void session_engine::on_statement_reply(session& caller, target_connection& connection,
                                        const expected_reply& expected,
                                        const statement_result& result) {
    if (target_state* const target = pool_.find(connection.target)) {
        record_latency(*target, now_ - expected.sent);
        record_service_time(services_[target->record.service], now_ - expected.sent);
        if (result.error.has_value() && result.error->kind == statement_error_kind::busy) {
            target->avoid_until = now_ + settings_.busy_pause;
        }
        if (result.error.has_value() && result.error->kind == statement_error_kind::lagging) {
            target->lagging_until = now_ + settings_.lagging_pause;
        }
    }
    if (result.error.has_value() && result.error->kind == statement_error_kind::read_only) {
        refute_primary(connection.target);
    }
    if (caller.transaction.has_value()) {
        finish_in_transaction(caller, connection, result);
    } else {
        finish_single(caller, connection, result);
    }
}

void session_engine::distrust_connection_state(target_connection& connection) {
    log(core::log_event::level::warning, "prepared_names_dropped",
        {{"target", connection.target.value},
         {"connection", std::to_string(connection.id)},
         {"session", std::to_string(connection.user)}});
    // A reset drops names and values together, so that both must be sent again.
    connection.values_known = false;
}

void session_engine::finish_single(session& caller, target_connection& connection,
                                   const statement_result& result) {
    const request& work = *caller.current;
    if (result.error.has_value()) {
        const statement_error_kind kind = result.error->kind;
        if (kind == statement_error_kind::not_prepared) {
            distrust_connection_state(connection);
        }
        const bool repeatable = proves_not_run(kind) ||
                                kind == statement_error_kind::not_prepared ||
                                (kind == statement_error_kind::failed && !work.writes);
        if (repeatable) {
            // The caller has prepared the statement, so it must not be told otherwise.
            const statement_error error =
                kind == statement_error_kind::not_prepared
                    ? statement_error{statement_error_kind::busy,
                                      "the target dropped a prepared statement", std::nullopt}
                    : *result.error;
            retry_or_refuse(caller, connection.target, error);
            return;
        }
    } else if (work.writes && superseded(connection.target, result)) {
        refuse(caller, {statement_error_kind::in_doubt, "written to a former primary", {}});
        return;
    } else if (work.writes && result.position.has_value()) {
        confirm_primary(connection.target, work.sent, *result.position);
    }
    if (!result.error.has_value()) {
        record_seen(caller, work.via->service, result.position);
    }
    log_if_objective_missed(caller);
    count_request(work, result.error.has_value() ? to_string(result.error->kind) : "done");
    end_request(caller, result);
}

void session_engine::finish_in_transaction(session& caller, target_connection& connection,
                                           const statement_result& result) {
    request& work = *caller.current;
    if (result.error.has_value()) {
        statement_error error = *result.error;
        const core::target_id target = connection.target;
        const bool first = caller.transaction->answered == 0;
        if (error.kind == statement_error_kind::not_prepared) {
            distrust_connection_state(connection);
            if (result.state == session_state::in_transaction &&
                work.attempts < settings_.max_attempts) {
                ++work.attempts;
                send_statement(caller, connection, {});
                return;
            }
            // The caller has prepared the statement, so it must not be told otherwise.
            error = {statement_error_kind::aborted, "the target dropped a prepared statement",
                     std::nullopt};
        }
        if (proves_not_run(error.kind) && first && work.work.kind != statement_kind::commit) {
            // No statement of the transaction has run, so it can begin again at another target.
            release_transaction_connection(caller);
            retry_or_refuse(caller, target, error);
            return;
        }
        if (result.state == session_state::in_transaction &&
            error.kind == statement_error_kind::busy && now_ < work.deadline) {
            work.phase = request_phase::waiting;
            enqueue_waiting(caller, wait_reason::connection);
            return;
        }
        log_request("transaction_failed", caller,
                    std::string{to_string(error.kind)} + " at " + target.value);
        count_request(work, to_string(error.kind));
        detach_transaction(caller);
        caller.state = session_state::failed_transaction;
        statement_result failure;
        failure.error = error;
        end_request(caller, std::move(failure));
        return;
    }
    ++caller.transaction->answered;
    const bool ended = work.work.kind == statement_kind::commit;
    if (ended && !caller.transaction->read_only && superseded(connection.target, result)) {
        refuse(caller, {statement_error_kind::in_doubt, "committed at a former primary", {}});
        return;
    }
    record_seen(caller, work.via->service, result.position);
    if (ended) {
        caller.transaction.reset();
        caller.state = session_state::idle;
    }
    log_if_objective_missed(caller);
    count_request(work, "done");
    end_request(caller, result);
}

void session_engine::on(const target_disconnected& input) {
    const target_connection* const found = pool_.find(input.connection);
    if (found == nullptr) {
        return;
    }
    const target_connection lost = *found;
    pool_.erase(input.connection);
    if (lost.holder.has_value()) {
        on_loan_lost(lost, input.reason);
        return;
    }
    target_state* const target = pool_.find(lost.target);
    const bool was_open = lost.phase != connection_phase::opening;
    log(core::log_event::level::info, "target_disconnected",
        {{"target", lost.target.value},
         {"reason", to_string(input.reason)},
         {"was_open", was_open ? "true" : "false"}});
    if (target != nullptr && !was_open) {
        const bool full = input.reason == target_close_reason::connection_limit;
        target->connect_failures = full ? 1 : target->connect_failures + 1;
        const unsigned doublings = std::min(target->connect_failures - 1, 5U);
        target->connect_after =
            now_ + std::min<core::duration>(settings_.connect_backoff * (1U << doublings),
                                            settings_.connect_backoff_max);
    }
    if (input.reason == target_close_reason::connection_limit) {
        last_limit_refusal_ = now_;
    } else {
        on_target_failure(lost.target, now_);
    }
    on_connection_lost(lost, was_open);
    const target_state* const known = pool_.find(lost.target);
    if (input.reason == target_close_reason::wrong_target && known != nullptr &&
        known->removed_at.has_value()) {
        // Another target has its address, so this one has ended.
        forget_target(lost.target);
    }
}

void session_engine::drop_connection(core::connection_id id) {
    const target_connection* const found = pool_.find(id);
    if (found == nullptr) {
        return;
    }
    const target_connection lost = *found;
    pool_.erase(id);
    out_.emplace_back(close_target{id});
    on_connection_lost(lost, true);
}

void session_engine::on_connection_lost(const target_connection& connection, bool was_open,
                                        bool target_failed) {
    const auto user = sessions_.find(connection.user);
    if (!was_open || user == sessions_.end()) {
        if (const target_state* const target = pool_.find(connection.target)) {
            dispatch_waiting(target->record.service);
        }
        return;
    }
    session& caller = user->second;
    const bool pinned =
        caller.transaction.has_value() && caller.transaction->connection == connection.id;
    const bool serving = caller.current.has_value() && caller.current->connection == connection.id;
    if (pinned) {
        caller.transaction->connection.reset();
    }
    if (!serving) {
        if (pinned) {
            caller.transaction_error = statement_error{
                statement_error_kind::aborted, "connection to the target lost", std::nullopt};
        }
        return;
    }
    request& work = *caller.current;
    const bool sent = work.phase == request_phase::running;
    const bool commits = work.work.kind == statement_kind::commit;
    if (sent && (commits || (work.writes && !pinned))) {
        refuse(caller,
               {statement_error_kind::in_doubt, "connection to the target lost", std::nullopt});
        return;
    }
    const bool restart = !pinned || caller.transaction->answered == 0;
    if (!restart) {
        refuse(caller,
               {statement_error_kind::aborted, "connection to the target lost", std::nullopt});
        return;
    }
    retry_or_refuse(caller, connection.target,
                    {statement_error_kind::busy, "connection to the target lost", std::nullopt},
                    target_failed);
}

void session_engine::on_target_contact(const core::target_id& id) {
    target_state* const target = pool_.find(id);
    if (target == nullptr) {
        return;
    }
    target->last_contact = now_;
    target->failing_since.reset();
    service_state& service = services_[target->record.service];
    if (service.view.primary() == id) {
        service.primary_contact = now_;
        service.failing_since.reset();
    }
}

void session_engine::record_answer(const core::target_id& id, core::time_point sent) {
    target_state* const target = pool_.find(id);
    if (target == nullptr) {
        return;
    }
    const core::service_id& service = target->record.service;
    service_state& state = services_[service];
    if (state.view.primary() != id && !has_lease_contact(service, sent, settings_.primary_lease)) {
        // The contact was interrupted. Demotions announced meanwhile may not have arrived.
        state.lease_lapsed_at = now_;
    }
    target->last_answered = std::max(target->last_answered, sent);
}

void session_engine::on_target_failure(const core::target_id& id, core::time_point since) {
    target_state* const target = pool_.find(id);
    if (target == nullptr) {
        return;
    }
    target->avoid_until = now_ + settings_.connect_backoff;
    if (!target->failing_since.has_value()) {
        target->failing_since = since;
    }
    service_state& service = services_[target->record.service];
    if (service.view.primary() == id && !service.failing_since.has_value()) {
        service.failing_since = since;
    }
}

bool session_engine::superseded(const core::target_id& target, const statement_result& result) {
    const target_state* const state = pool_.find(target);
    if (state == nullptr || !result.position.has_value()) {
        return false;
    }
    const core::service_id& service = state->record.service;
    return !primary_lease_valid(service, now_) ||
           services_[service].view.superseded(target, result.position->term);
}

bool session_engine::confirm_primary(const core::target_id& target, core::time_point sent,
                                     replication_position position) {
    const target_state* const state = pool_.find(target);
    if (state == nullptr) {
        return false;
    }
    const core::service_id service_name = state->record.service;
    service_state& service = services_[service_name];
    const bool was_confirmed = service.view.confirmed();
    const bool first_bound = !service.checks.newest().has_value();
    if (!primary_lease_valid(service_name, sent)) {
        return false;
    }
    const bool changed = service.view.on_confirmed(target, position.term);
    if (service.view.primary() != target || service.view.superseded(target, position.term)) {
        if (service.view.demoted(target)) {
            // Positions carry the term of the last commit, which may precede the current term.
            inspect_target(target, command_kind::status, 0);
        }
        return false;
    }
    service.checks.record(sent, position);
    service.primary_contact = now_;
    service.failing_since.reset();
    service.missing_since.reset();
    if (service.suspicion_published) {
        update_suspicion(service_name, service);
    }
    failover_coordinator_.on_primary(service_name, target);
    if (changed || !was_confirmed) {
        log(core::log_event::level::info, "primary_confirmed",
            {{"service", service_name.value},
             {"target", target.value},
             {"term", std::to_string(position.term)},
             {"position", std::to_string(position.index)}});
    }
    if (changed || !was_confirmed) {
        demote_former_primaries(service_name, target);
    }
    if (changed || first_bound || !service.waiting.empty()) {
        dispatch_waiting(service_name);
    }
    return true;
}

void session_engine::refute_primary(const core::target_id& target) {
    const target_state* const state = pool_.find(target);
    if (state == nullptr) {
        return;
    }
    service_state& service = services_[state->record.service];
    if (service.view.on_refuted(target)) {
        log(core::log_event::level::info, "primary_refuted",
            {{"service", state->record.service.value},
             {"target", target.value},
             {"next",
              service.view.primary().has_value() ? service.view.primary()->value : "none"}});
    }
}

void session_engine::record_latency(target_state& target, core::duration taken) {
    target.mean_latency += (taken - target.mean_latency) / internal::latency_weight;
}

} // namespace lovagemoor::proxy
