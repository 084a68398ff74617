#include <lovagemoor/core/owner_service.hpp>

#include <algorithm>
#include <utility>

/// @file
/// @brief Handling of job results and acknowledgements in owner_service.

namespace lovagemoor::core {

namespace internal {

/// The data age of an older observation is not reported as the target's current age.
constexpr duration observation_lifetime = std::chrono::seconds{1};

bool changes_data(forwarded_operation operation) noexcept {
    return operation == forwarded_operation::write || operation == forwarded_operation::commit;
}

bool is_in_transaction(forwarded_operation operation) noexcept {
    return operation == forwarded_operation::in_transaction ||
           operation == forwarded_operation::commit || operation == forwarded_operation::rollback;
}

/// @return Refusal for the SQLSTATEs with which a target rejects a request before any of it takes
/// effect; unset for other errors.
std::optional<refusal_reason> refusal_for(const std::string& state, forwarded_operation operation) {
    // Reads run in a read-only transaction, in which this state means that the caller sent a write
    // as a read.
    const bool is_replaced_primary =
        state == sqlstate::read_only && operation != forwarded_operation::read;
    if (is_replaced_primary || state == sqlstate::behind) {
        return refusal_reason::stale_view;
    }
    if (state == sqlstate::diverged) {
        return refusal_reason::session_diverged;
    }
    if (state == sqlstate::too_old) {
        return refusal_reason::too_stale;
    }
    return std::nullopt;
}

} // namespace internal

void owner_service::on_job_rows(time_point /*now*/, const job_rows& rows, action_list& actions) {
    const auto found = jobs_.find(rows.job);
    if (found == jobs_.end()) {
        return;
    }
    owned_request& owned = requests_.at(found->second);
    send(owned.entry, forward_rows{owned.request.id, owned.batches, rows.batch}, actions);
    ++owned.batches;
}

void owner_service::on_job_finished(time_point now, const job_finished& finished,
                                    action_list& actions) {
    const auto reset = resets_.find(finished.job);
    if (reset != resets_.end()) {
        const reset_in_progress entry = reset->second;
        resets_.erase(reset);
        owned_target_state& state = state_of(entry.target);
        state.pool.on_reset_finished(now, entry.connection,
                                     std::holds_alternative<job_done>(finished.result), actions);
        if (!state.owned_since.has_value()) {
            state.pool.close_unused(actions);
        }
        dispatch(now, entry.target, actions);
        return;
    }
    const auto found = jobs_.find(finished.job);
    if (found == jobs_.end()) {
        return;
    }
    owned_request& owned = requests_.at(found->second);
    const target_id target = owned.request.target;
    release_slot(now, owned, std::holds_alternative<job_done>(finished.result));
    finish_job(now, owned, finished.result, actions);
    dispatch(now, target, actions);
}

void owner_service::release_slot(time_point now, owned_request& owned, bool measured) {
    owned_target_state& state = state_of(owned.request.target);
    --state.running[static_cast<std::size_t>(owned.priority)];
    jobs_.erase(owned.job);
    if (!measured) {
        return;
    }
    const duration elapsed = now - owned.started_at;
    state.admission.record_service_time(owned.priority, elapsed);
    if (!owned.request.statement.sql.empty()) {
        costs_.record(owned.request.statement.sql, elapsed);
    }
}

void owner_service::finish_job(time_point now, owned_request& owned, const job_result& result,
                               action_list& actions) {
    if (const job_done* done_result = std::get_if<job_done>(&result)) {
        on_done(now, owned, *done_result, actions);
    } else if (const job_error* error = std::get_if<job_error>(&result)) {
        on_error(now, owned, *error, actions);
    } else if (const job_already_committed* earlier = std::get_if<job_already_committed>(&result)) {
        on_already_committed(now, owned, *earlier, actions);
    } else if (const job_connection_lost* lost = std::get_if<job_connection_lost>(&result)) {
        state_of(owned.request.target).pool.remove_broken(owned.connection);
        end_transaction_of(now, owned);
        answer(now, owned, interrupted_outcome(owned, lost->sent, unknown_reason::connection_lost),
               actions);
    } else {
        release_connection(owned, actions);
        answer(now, owned, failed{failure_reason::idempotency_conflict, {}, {}}, actions);
    }
}

void owner_service::on_done(time_point now, owned_request& owned, const job_done& result,
                            action_list& actions) {
    record_observation(now, owned, result);
    const done success{result.row_count, result.affected_rows, result.replayed};
    owned.pending_result = success;
    switch (owned.request.operation) {
    case forwarded_operation::read:
    case forwarded_operation::write:
        release_connection(owned, actions);
        acknowledge(now, owned, {owned.request.group, result.term, result.position}, actions);
        break;
    case forwarded_operation::commit:
        release_connection(owned, actions);
        transactions_.erase(owned.request.transaction);
        acknowledge(now, owned, {owned.request.group, result.term, result.position}, actions);
        break;
    case forwarded_operation::rollback:
        release_connection(owned, actions);
        transactions_.erase(owned.request.transaction);
        answer(now, owned, success, actions);
        break;
    case forwarded_operation::in_transaction:
        mark_transaction_idle(now, owned.request.transaction);
        answer(now, owned, success, actions);
        break;
    case forwarded_operation::begin:
        register_transaction(now, owned, actions);
        break;
    }
}

void owner_service::register_transaction(time_point now, owned_request& owned,
                                         action_list& actions) {
    open_transaction transaction;
    transaction.id = ids_.next();
    transaction.target = owned.request.target;
    transaction.connection = owned.connection;
    transaction.term = owned.expected_term;
    transaction.idempotency_key = owned.request.idempotency_key;
    transaction.begin_entry = owned.entry;
    transaction.begin_request_id = owned.request.id;
    transaction.last_used = now;
    owned.request.transaction = transaction.id;
    transactions_.insert(std::move(transaction));
    answer(now, owned, done{}, actions);
}

void owner_service::on_error(time_point now, owned_request& owned, const job_error& error,
                             action_list& actions) {
    const forwarded_operation operation = owned.request.operation;
    const outcome failure = failed{failure_reason::database_error, error.sqlstate, error.message};
    if (operation == forwarded_operation::in_transaction) {
        mark_transaction_idle(now, owned.request.transaction);
        answer(now, owned, failure, actions);
        return;
    }
    release_connection(owned, actions);
    if (internal::is_in_transaction(operation)) {
        transactions_.erase(owned.request.transaction);
        answer(now, owned, failure, actions);
        return;
    }
    const std::optional<refusal_reason> refusal = internal::refusal_for(error.sqlstate, operation);
    if (!refusal.has_value()) {
        answer(now, owned, failure, actions);
        return;
    }
    if (refusal == refusal_reason::too_stale && owned.request.guard.max_age.has_value()) {
        owned_target_state& state = state_of(owned.request.target);
        state.observed.age = *owned.request.guard.max_age + std::chrono::milliseconds{1};
        state.observed_at = now;
    }
    answer(now, owned, refused{*refusal, {}, {}, {}}, actions);
}

void owner_service::on_already_committed(time_point now, owned_request& owned,
                                         const job_already_committed& result,
                                         action_list& actions) {
    release_connection(owned, actions);
    owned.pending_result = failed{failure_reason::already_committed, {}, {}};
    acknowledge(now, owned, {owned.request.group, result.term, result.position}, actions);
}

bool owner_service::has_expected_term(const owned_request& owned, term_number term) const {
    if (term == owned.expected_term) {
        return true;
    }
    // The same target was promoted again in the very next term, so no other primary came in
    // between.
    const term_record* record = view_.find_term(owned.request.group);
    return record != nullptr && record->phase == term_phase::serving && record->term == term &&
           term == owned.expected_term + 1 && record->primary == owned.request.target;
}

void owner_service::acknowledge(time_point now, owned_request& owned, const group_position& shown,
                                action_list& actions) {
    const forward_request& request = owned.request;
    const bool has_max_age =
        request.operation == forwarded_operation::read && request.guard.max_age.has_value();
    owned.phase = request_phase::acknowledging;
    owned.shown = shown;
    // A target in a later term than expected may have followed another primary in between. The
    // position that the job read then proves neither that the write survived nor that the read was
    // fresh.
    if (!has_max_age && !has_expected_term(owned, shown.term)) {
        on_acknowledged(now, {owned.ticket, acknowledgement_status::superseded}, actions);
        return;
    }
    acknowledgement_request needed;
    needed.id = owned.ticket;
    needed.group = request.group;
    needed.term = shown.term;
    needed.position = has_max_age ? 0 : shown.position;
    const service_record* service = view_.service_of(request.group);
    needed.position_on_replicas =
        service == nullptr || service->write_durability == durability::replicated;
    needed.not_before = request.operation == forwarded_operation::read ? owned.started_at : now;
    if (has_max_age) {
        needed.not_before = now - *request.guard.max_age;
    }
    needed.deadline = owned.deadline;
    acknowledgements_.submit(now, needed, actions);
}

target_id owner_service::holder_of(const owned_request& owned,
                                   const acknowledgement& result) const {
    const target_record* primary = view_.primary_of(owned.request.group);
    const bool is_replica = primary == nullptr || primary->id != owned.request.target;
    return is_replica ? owned.request.target : result.holder;
}

void owner_service::on_acknowledged(time_point now, const acknowledgement& result,
                                    action_list& actions) {
    const auto found = requests_.find(result.id);
    if (found == requests_.end() || found->second.phase != request_phase::acknowledging) {
        return;
    }
    owned_request& owned = found->second;
    switch (result.status) {
    case acknowledgement_status::acknowledged:
        owned.shown.holder = holder_of(owned, result);
        answer(now, owned, std::move(owned.pending_result), actions);
        break;
    case acknowledgement_status::superseded:
        owned.shown = {};
        answer(now, owned, outcome_unknown{unknown_reason::term_superseded}, actions);
        break;
    case acknowledgement_status::no_quorum:
        owned.shown = {};
        answer(now, owned, outcome_unknown{unknown_reason::no_quorum}, actions);
        break;
    }
}

outcome owner_service::interrupted_outcome(const owned_request& owned, bool sent,
                                           unknown_reason reason) const {
    const forwarded_operation operation = owned.request.operation;
    if (internal::is_in_transaction(operation) && !(internal::changes_data(operation) && sent)) {
        return failed{failure_reason::transaction_lost, {}, {}};
    }
    if (sent) {
        // A read or BEGIN has no lasting effect and the entry host sends it again. It did reach a
        // target, however, so it must not be reported as refused.
        return outcome_unknown{reason};
    }
    return refused{refusal_reason::stale_view, {}, {}, {}};
}

void owner_service::abandon(time_point now, owned_request& owned, unknown_reason reason,
                            action_list& actions) {
    release_slot(now, owned, false);
    state_of(owned.request.target).pool.close(owned.connection, actions);
    end_transaction_of(now, owned);
    answer(now, owned, interrupted_outcome(owned, true, reason), actions);
}

void owner_service::release_connection(owned_request& owned, action_list& actions) {
    const target_id& target = owned.request.target;
    const job_id job = state_of(target).pool.reset(owned.connection, actions);
    resets_[job] = {target, owned.connection};
}

void owner_service::end_transaction_of(time_point now, const owned_request& owned) {
    if (owned.request.operation == forwarded_operation::commit) {
        // The transaction may have been committed, so it must not be reported as rolled back later.
        transactions_.erase(owned.request.transaction);
        return;
    }
    mark_transaction_lost(now, owned.request.transaction);
}

void owner_service::mark_transaction_idle(time_point now, transaction_id transaction) {
    if (open_transaction* open = transactions_.find(transaction)) {
        open->busy = false;
        open->last_used = now;
    }
}

void owner_service::mark_transaction_lost(time_point now, transaction_id transaction) {
    if (open_transaction* open = transactions_.find(transaction)) {
        open->lost = true;
        open->busy = false;
        open->last_used = now;
    }
}

void owner_service::answer(time_point now, owned_request& owned, outcome result,
                           action_list& actions) {
    forward_outcome reply;
    reply.id = owned.request.id;
    reply.result = std::move(result);
    reply.batches = owned.batches;
    reply.shown = owned.shown;
    if (owned.request.operation == forwarded_operation::begin) {
        reply.transaction = owned.request.transaction;
    }
    reply.owner_incarnation = incarnation_;
    reply.observation = observation_of(now, owned.request.target);
    send(owned.entry, std::move(reply), actions);
    erase_request(owned);
}

void owner_service::erase_request(const owned_request& owned) {
    const std::uint64_t ticket = owned.ticket;
    deadlines_.erase({owned.deadline, ticket});
    tickets_.erase({owned.entry, owned.request.id});
    requests_.erase(ticket);
}

void owner_service::record_observation(time_point now, const owned_request& owned,
                                       const job_done& result) {
    if (result.term == 0) {
        return;
    }
    owned_target_state& state = state_of(owned.request.target);
    state.observed.term = result.term;
    state.observed.position = result.position;
    state.observed.age = result.age;
    state.observed_at = now;
}

target_observation owner_service::observation_of(time_point now, const target_id& target) const {
    target_observation result;
    time_point sampled_at;
    const owned_target_state* state = find_state(target);
    if (state != nullptr) {
        result = state->observed;
        sampled_at = state->observed_at;
    }
    const observed_target* held = view_.find_observation(target);
    if (held != nullptr && held->sampled_at > sampled_at) {
        result = held->observation;
        sampled_at = held->sampled_at;
    }
    if (now - sampled_at > internal::observation_lifetime) {
        result.age = std::chrono::milliseconds{0};
    }
    result.target = target;
    const group_record* group = view_.group_of(target);
    const target_record* primary = group == nullptr ? nullptr : view_.primary_of(group->id);
    result.is_primary = primary != nullptr && primary->id == target;
    result.reachable = state == nullptr || !state->pool.is_down();
    result.queue_wait = queue_wait(target);
    return result;
}

} // namespace lovagemoor::core
