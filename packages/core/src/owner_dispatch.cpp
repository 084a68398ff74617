#include <lovagemoor/core/owner_service.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

/// @file
/// @brief Scheduling in owner_service: queues, slots, connections and deadlines.

namespace lovagemoor::core {

owner_service::owned_target_state& owner_service::state_of(const target_id& target) {
    const auto found = target_states_.find(target);
    if (found != target_states_.end()) {
        return found->second;
    }
    return target_states_.try_emplace(target, settings_.bulk_max_wait, ids_).first->second;
}

const owner_service::owned_target_state* owner_service::find_state(const target_id& target) const {
    const auto found = target_states_.find(target);
    return found == target_states_.end() ? nullptr : &found->second;
}

std::uint32_t owner_service::slots_of(const target_id& target) const {
    const group_record* group = view_.group_of(target);
    const service_record* service = group == nullptr ? nullptr : view_.service_of(group->id);
    return service == nullptr ? 1 : std::max<std::uint32_t>(1, service->slots_per_target);
}

std::size_t owner_service::connection_budget(time_point now, const target_id& target,
                                             const owned_target_state& state) const {
    const group_record* group = view_.group_of(target);
    const service_record* service = group == nullptr ? nullptr : view_.service_of(group->id);
    if (service == nullptr || !state.owned_since.has_value()) {
        return 0;
    }
    // The previous owner may still have its connections open, so a new owner starts with half the
    // budget.
    const bool is_new_owner = now < *state.owned_since + settings_.previous_owner_grace;
    const std::uint32_t budget = service->connections_per_target / (is_new_owner ? 2 : 1);
    return std::max<std::uint32_t>(1, budget);
}

target_backlog owner_service::backlog_of(const target_id& target,
                                         const owned_target_state& state) const {
    return {state.queue.sizes(), state.running, slots_of(target)};
}

queued_request owner_service::queue_entry(const owned_request& owned) {
    return {owned.ticket, owned.request.service, owned.priority, owned.request.transaction != 0,
            owned.queued_at};
}

void owner_service::dispatch(time_point now, const target_id& target, action_list& actions) {
    owned_target_state& state = state_of(target);
    const std::uint32_t slots = slots_of(target);
    const std::size_t bulk = static_cast<std::size_t>(urgency::bulk);
    while (std::accumulate(state.running.begin(), state.running.end(), std::size_t{0}) < slots) {
        const slot_state usage{slots, static_cast<std::uint32_t>(state.running[bulk]),
                               state.pool.has_idle()};
        const std::optional<queued_request> next = state.queue.pop(now, usage);
        if (!next.has_value()) {
            break;
        }
        owned_request& owned = requests_.at(next->ticket);
        if (is_too_late(now, owned, state)) {
            refuse_queued(now, owned.ticket, refusal_reason::deadline, actions);
            continue;
        }
        start(now, owned, state, actions);
    }
    maintain_pool(now, target, state, actions);
}

bool owner_service::is_too_late(time_point now, const owned_request& owned,
                                const owned_target_state& state) const {
    // A request that did not wait is always started, so that an estimate that is too high is
    // measured again and can fall.
    if (owned.queued_at == now) {
        return owned.deadline <= now;
    }
    const duration measured = costs_.mean(owned.request.statement.sql);
    const duration expected =
        measured > duration{0} ? measured : state.admission.service_time(owned.priority);
    return owned.deadline - now < expected;
}

void owner_service::maintain_pool(time_point now, const target_id& target,
                                  owned_target_state& state, action_list& actions) {
    state.pool_wakeup = time_point::max();
    const target_record* record = view_.find_target(target);
    if (record == nullptr || !state.owned_since.has_value() || record->leaving) {
        return;
    }
    const std::size_t slots = slots_of(target);
    // A connection is reset while the next job already uses its slot, so with a queue up to twice
    // as many connections as slots are needed.
    const std::size_t wanted =
        slots + settings_.spare_connections + std::min(state.queue.size(), slots);
    state.pool.maintain(now, *record, connection_budget(now, target, state), wanted, actions);
    const time_point grace_end = *state.owned_since + settings_.previous_owner_grace;
    for (const time_point next : {state.pool.retry_at(), grace_end}) {
        if (next > now) {
            state.pool_wakeup = std::min(state.pool_wakeup, next);
        }
    }
}

void owner_service::start(time_point now, owned_request& owned, owned_target_state& state,
                          action_list& actions) {
    const open_transaction* transaction = transactions_.find(owned.request.transaction);
    if (transaction != nullptr) {
        owned.connection = transaction->connection;
    } else {
        owned.connection = state.pool.acquire().value();
        const term_record* term = view_.find_term(owned.request.group);
        owned.expected_term = term == nullptr ? 0 : term->term;
    }
    owned.phase = request_phase::running;
    owned.started_at = now;
    owned.job = ids_.next();
    jobs_[owned.job] = owned.ticket;
    ++state.running[static_cast<std::size_t>(owned.priority)];
    actions.emplace_back(run_job{owned.connection, owned.job, make_job(owned)});
}

target_job owner_service::make_job(const owned_request& owned) {
    const forward_request& request = owned.request;
    std::optional<idempotency_claim> claim;
    if (!request.idempotency_key.empty()) {
        const service_record* service = view_.service_of(request.group);
        const std::chrono::seconds retention = service == nullptr
                                                   ? service_record{}.idempotency_retention
                                                   : service->idempotency_retention;
        claim = idempotency_claim{request.idempotency_key, request.digest, retention};
    }
    // The age limit applies only to reads: writes run on the primary, whose data is never stale.
    const read_guard position{request.guard.term, request.guard.position, std::nullopt};
    switch (request.operation) {
    case forwarded_operation::read:
        return read_job{request.statement, request.guard};
    case forwarded_operation::write:
        return write_job{request.statement, position, std::move(claim)};
    case forwarded_operation::begin:
        return begin_job{position, std::move(claim)};
    case forwarded_operation::in_transaction:
        return transaction_job{request.statement};
    case forwarded_operation::commit: {
        const open_transaction* transaction = transactions_.find(request.transaction);
        return commit_job{transaction == nullptr ? std::string{} : transaction->idempotency_key};
    }
    case forwarded_operation::rollback:
        break;
    }
    return rollback_job{};
}

void owner_service::refuse_queued(time_point now, std::uint64_t ticket, refusal_reason reason,
                                  action_list& actions) {
    owned_request& owned = requests_.at(ticket);
    state_of(owned.request.target).queue.erase(queue_entry(owned));
    mark_transaction_idle(now, owned.request.transaction);
    answer(now, owned, refused{reason, {}, {}, {}}, actions);
}

void owner_service::refuse_unservable(time_point now, const target_id& target,
                                      action_list& actions) {
    owned_target_state& state = state_of(target);
    const bool is_down = state.pool.is_down();
    for (const std::uint64_t ticket : state.queue.tickets_without_connection()) {
        const std::optional<refused> refusal = check_placement(requests_.at(ticket).request);
        if (refusal.has_value() || is_down) {
            refuse_queued(now, ticket,
                          refusal.has_value() ? refusal->reason : refusal_reason::stale_view,
                          actions);
        }
    }
}

bool owner_service::is_superseded(const target_id& target, term_number expected) const {
    const group_record* group = view_.group_of(target);
    const term_record* term = group == nullptr ? nullptr : view_.find_term(group->id);
    return term != nullptr && term->phase == term_phase::serving && term->term > expected &&
           term->primary != target;
}

void owner_service::abandon_superseded_work(time_point now, action_list& actions) {
    std::vector<std::uint64_t> superseded;
    for (const auto& [ticket, owned] : requests_) {
        const bool may_run_on_replica = owned.request.operation == forwarded_operation::read &&
                                        owned.request.guard.max_age.has_value();
        if (owned.phase == request_phase::running && !may_run_on_replica &&
            is_superseded(owned.request.target, owned.expected_term)) {
            superseded.push_back(ticket);
        }
    }
    std::sort(superseded.begin(), superseded.end());
    for (const std::uint64_t ticket : superseded) {
        abandon(now, requests_.at(ticket), unknown_reason::term_superseded, actions);
    }
    std::vector<transaction_id> lost;
    for (const auto& [id, transaction] : transactions_.all()) {
        if (!transaction.lost && !transaction.busy &&
            is_superseded(transaction.target, transaction.term)) {
            lost.push_back(id);
        }
    }
    for (const transaction_id id : lost) {
        const open_transaction& transaction = *transactions_.find(id);
        state_of(transaction.target).pool.close(transaction.connection, actions);
        mark_transaction_lost(now, id);
    }
}

void owner_service::expire_deadlines(time_point now, action_list& actions) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        owned_request& owned = requests_.at(deadlines_.begin()->second);
        switch (owned.phase) {
        case request_phase::queued:
            refuse_queued(now, owned.ticket, refusal_reason::deadline, actions);
            break;
        case request_phase::running:
            abandon(now, owned, unknown_reason::deadline, actions);
            break;
        case request_phase::acknowledging:
            answer(now, owned, outcome_unknown{unknown_reason::no_quorum}, actions);
            break;
        }
    }
}

void owner_service::expire_transactions(time_point now, action_list& actions) {
    for (const transaction_id id :
         transactions_.idle_since(now - settings_.transaction_idle_timeout)) {
        const open_transaction& transaction = *transactions_.find(id);
        if (transaction.lost) {
            transactions_.erase(id);
            continue;
        }
        // Closing the connection rolls the transaction back.
        state_of(transaction.target).pool.close(transaction.connection, actions);
        mark_transaction_lost(now, id);
    }
}

} // namespace lovagemoor::core
