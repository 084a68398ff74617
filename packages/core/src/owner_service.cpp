#include <lovagemoor/core/owner_service.hpp>

#include <algorithm>

namespace lovagemoor::core {

namespace internal {

/// How long the received request numbers of an idle entry host are kept: longer than any request
/// can be delayed and still have time left before its deadline.
constexpr duration received_window_lifetime = std::chrono::minutes{10};

} // namespace internal

owner_service::owner_service(const core_settings& settings, const cluster_view& view,
                             acknowledger& acknowledgements, id_source& ids)
    : settings_{settings},
      view_{view},
      acknowledgements_{acknowledgements},
      ids_{ids},
      incarnation_{view.incarnation()},
      costs_{settings.bulk_threshold} {}

void owner_service::submit(time_point now, const host_id& entry, const forward_request& request,
                           action_list& actions) {
    if (!accept_once(now, entry, request.id)) {
        return;
    }
    const urgency priority = scheduling_class(request);
    if (is_lost_transaction(request)) {
        transactions_.erase(request.transaction);
        reply_without_running(now, entry, request, failed{failure_reason::transaction_lost, {}, {}},
                              actions);
        return;
    }
    const std::optional<refused> refusal = check_submission(now, request, priority);
    if (refusal.has_value()) {
        reply_without_running(now, entry, request, *refusal, actions);
        return;
    }
    const std::uint64_t ticket = ids_.next();
    owned_request& owned = requests_[ticket];
    owned.ticket = ticket;
    owned.entry = entry;
    owned.request = request;
    owned.priority = priority;
    owned.deadline = now + request.remaining;
    owned.queued_at = now;
    tickets_[{entry, request.id}] = ticket;
    deadlines_.emplace(owned.deadline, ticket);
    owned_target_state& state = state_of(request.target);
    if (open_transaction* transaction = transactions_.find(request.transaction)) {
        transaction->busy = true;
        owned.expected_term = transaction->term;
    } else if (!state.owned_since.has_value()) {
        state.owned_since = now;
    }
    state.queue.push(queue_entry(owned));
    dispatch(now, request.target, actions);
}

void owner_service::cancel(time_point now, const host_id& entry, request_id request,
                           action_list& actions) {
    const auto found = tickets_.find({entry, request});
    if (found == tickets_.end()) {
        cancel_unknown(now, entry, request, actions);
        return;
    }
    owned_request& owned = requests_.at(found->second);
    const target_id target = owned.request.target;
    if (owned.phase == request_phase::queued) {
        state_of(target).queue.erase(queue_entry(owned));
        mark_transaction_idle(now, owned.request.transaction);
    } else if (owned.phase == request_phase::running) {
        release_slot(now, owned, false);
        state_of(target).pool.close(owned.connection, actions);
        end_transaction_of(now, owned);
    }
    erase_request(owned);
    dispatch(now, target, actions);
}

void owner_service::cancel_unknown(time_point now, const host_id& entry, request_id request,
                                   action_list& actions) {
    // The cancellation may arrive before its request. Recording the number prevents the request
    // from running later.
    if (accept_once(now, entry, request)) {
        return;
    }
    const open_transaction* begun = transactions_.find_by_begin(entry, request);
    if (begun != nullptr && !begun->busy && !begun->lost) {
        const target_id target = begun->target;
        state_of(target).pool.close(begun->connection, actions);
        transactions_.erase(begun->id);
        dispatch(now, target, actions);
    }
}

bool owner_service::accept_once(time_point now, const host_id& entry, request_id request) {
    received_window& window = received_[entry];
    window.last_used = now;
    return window.window.accept(request);
}

void owner_service::on_connection_opened(time_point now, const connection_opened& opened,
                                         action_list& actions) {
    const auto found = target_states_.find(opened.target);
    if (found == target_states_.end()) {
        return;
    }
    found->second.pool.on_opened(opened.connection);
    dispatch(now, opened.target, actions);
}

void owner_service::on_connection_closed(time_point now, const connection_closed& closed,
                                         action_list& actions) {
    const auto found = target_states_.find(closed.target);
    if (found == target_states_.end() ||
        !found->second.pool.on_closed(now, closed.connection, closed.capacity)) {
        return;
    }
    for (const auto& [id, transaction] : transactions_.all()) {
        if (transaction.connection == closed.connection && !transaction.lost) {
            mark_transaction_lost(now, id);
            break;
        }
    }
    if (found->second.pool.is_down()) {
        refuse_unservable(now, closed.target, actions);
    }
    dispatch(now, closed.target, actions);
}

void owner_service::on_view_changed(time_point now, action_list& actions) {
    for (const auto& [id, group] : view_.groups()) {
        for (const target_record& target : group.targets) {
            update_ownership(now, target.id, actions);
        }
    }
    for (auto& [target, state] : target_states_) {
        update_ownership(now, target, actions);
    }
    abandon_superseded_work(now, actions);
    for (auto& [target, state] : target_states_) {
        refuse_unservable(now, target, actions);
        dispatch(now, target, actions);
    }
}

void owner_service::update_ownership(time_point now, const target_id& target,
                                     action_list& actions) {
    const bool owned = is_owner(target);
    if (!owned && !target_states_.contains(target)) {
        return;
    }
    owned_target_state& state = state_of(target);
    if (owned && !state.owned_since.has_value()) {
        state.owned_since = now;
    } else if (!owned && state.owned_since.has_value()) {
        state.owned_since.reset();
        state.pool.close_unused(actions);
    }
}

void owner_service::on_host_lost(time_point now, const host_id& host, action_list& actions) {
    std::vector<std::uint64_t> waiting;
    for (const auto& [ticket, owned] : requests_) {
        if (owned.entry == host && owned.phase == request_phase::queued) {
            waiting.push_back(ticket);
        }
    }
    // The refusals are sent nevertheless, because the host may have been declared dead by mistake.
    std::sort(waiting.begin(), waiting.end());
    for (const std::uint64_t ticket : waiting) {
        refuse_queued(now, ticket, refusal_reason::stale_view, actions);
    }
}

void owner_service::on_timer(time_point now, action_list& actions) {
    expire_deadlines(now, actions);
    expire_transactions(now, actions);
    std::erase_if(received_, [now](const auto& entry) {
        return now - entry.second.last_used > internal::received_window_lifetime;
    });
    for (auto& [target, state] : target_states_) {
        dispatch(now, target, actions);
    }
}

void owner_service::drain(time_point now, action_list& actions) {
    draining_ = true;
    on_view_changed(now, actions);
}

std::size_t owner_service::in_progress() const noexcept {
    return requests_.size() + transactions_.open_count();
}

time_point owner_service::next_wakeup() const {
    time_point wakeup = deadlines_.empty() ? time_point::max() : deadlines_.begin()->first;
    const time_point idle = transactions_.oldest_idle();
    if (idle != time_point::max()) {
        wakeup = std::min(wakeup, idle + settings_.transaction_idle_timeout);
    }
    for (const auto& [target, state] : target_states_) {
        if (state.pool_wakeup != time_point::max()) {
            wakeup = std::min(wakeup, state.pool_wakeup);
        }
    }
    return wakeup;
}

std::vector<target_load> owner_service::loads() const {
    std::vector<target_load> result;
    result.reserve(target_states_.size());
    for (const auto& [target, state] : target_states_) {
        std::size_t running = 0;
        for (const std::size_t count : state.running) {
            running += count;
        }
        result.push_back({target, static_cast<std::uint32_t>(state.queue.size()),
                          static_cast<std::uint32_t>(running),
                          static_cast<std::uint32_t>(state.pool.size())});
    }
    return result;
}

duration owner_service::queue_wait(const target_id& target) const {
    const owned_target_state* state = find_state(target);
    return state == nullptr
               ? duration{0}
               : state->admission.expected_wait(urgency::normal, backlog_of(target, *state));
}

bool owner_service::is_owner(const target_id& target) const {
    return !draining_ && view_.owner_of(target) == view_.self().id;
}

bool owner_service::is_lost_transaction(const forward_request& request) {
    const open_transaction* transaction = transactions_.find(request.transaction);
    return transaction != nullptr && transaction->lost &&
           request.owner_incarnation == incarnation_ && transaction->target == request.target;
}

urgency owner_service::scheduling_class(const forward_request& request) const {
    switch (request.operation) {
    case forwarded_operation::commit:
    case forwarded_operation::rollback:
        // COMMIT and ROLLBACK are short and free locks and a connection.
        return urgency::urgent;
    case forwarded_operation::begin:
        return request.priority;
    case forwarded_operation::read:
    case forwarded_operation::write:
    case forwarded_operation::in_transaction:
        break;
    }
    return costs_.classify(request.statement.sql, request.priority);
}

std::optional<refused>
owner_service::check_submission(time_point now, const forward_request& request, urgency priority) {
    if (request.remaining <= duration{0}) {
        return refused{refusal_reason::deadline, {}, {}, {}};
    }
    const bool in_transaction = request.operation == forwarded_operation::in_transaction ||
                                request.operation == forwarded_operation::commit ||
                                request.operation == forwarded_operation::rollback;
    if (in_transaction) {
        return check_transaction(request);
    }
    std::optional<refused> refusal = check_placement(request);
    return refusal.has_value() ? refusal : check_capacity(now, request, priority);
}

std::optional<refused> owner_service::check_transaction(const forward_request& request) {
    const open_transaction* transaction = transactions_.find(request.transaction);
    if (transaction == nullptr || request.owner_incarnation != incarnation_ ||
        transaction->target != request.target) {
        return refused{refusal_reason::invalid_transaction, {}, {}, "transaction is not open"};
    }
    if (transaction->busy) {
        return refused{
            refusal_reason::invalid_transaction, {}, {}, "a statement of it is in progress"};
    }
    return std::nullopt;
}

std::optional<refused> owner_service::check_placement(const forward_request& request) const {
    const target_record* target = view_.find_target(request.target);
    const group_record* group = view_.group_of(request.target);
    if (target == nullptr || group->id != request.group || !is_owner(request.target) ||
        view_.service_of(request.group) == nullptr) {
        return refused{refusal_reason::stale_view, {}, {}, {}};
    }
    const bool needs_primary =
        request.operation != forwarded_operation::read || !request.guard.max_age.has_value();
    const target_record* primary = view_.primary_of(request.group);
    if (needs_primary && (primary == nullptr || primary->id != request.target)) {
        return refused{refusal_reason::stale_view, {}, {}, {}};
    }
    if (target->leaving) {
        return refused{refusal_reason::target_leaving, {}, {}, {}};
    }
    return std::nullopt;
}

std::optional<refused> owner_service::check_capacity(time_point now, const forward_request& request,
                                                     urgency priority) const {
    const owned_target_state* state = find_state(request.target);
    if (state == nullptr) {
        return std::nullopt;
    }
    if (state->pool.is_down()) {
        return refused{refusal_reason::stale_view, {}, {}, "target is unreachable"};
    }
    const target_backlog backlog = backlog_of(request.target, *state);
    if (state->queue.size() >= settings_.max_queue_per_target) {
        return refused{refusal_reason::overloaded,
                       state->admission.expected_wait(priority, backlog),
                       {},
                       "queue is full"};
    }
    // Transactions keep their connection between statements, so some connections are reserved for
    // single statements.
    const std::size_t reserved = backlog.slots;
    const std::size_t budget = connection_budget(now, request.target, *state);
    const std::size_t most = std::max(budget, reserved + 1) - reserved;
    if (request.operation == forwarded_operation::begin &&
        transactions_.open_count(request.target) >= most) {
        return refused{refusal_reason::overloaded,
                       state->admission.service_time(priority),
                       {},
                       "too many open transactions"};
    }
    const std::optional<duration> retry_after =
        state->admission.retry_after_if_refused(priority, request.remaining, backlog);
    if (retry_after.has_value()) {
        return refused{refusal_reason::overloaded, *retry_after, {}, {}};
    }
    return std::nullopt;
}

void owner_service::reply_without_running(time_point now, const host_id& entry,
                                          const forward_request& request, outcome result,
                                          action_list& actions) {
    forward_outcome reply;
    reply.id = request.id;
    reply.result = std::move(result);
    reply.owner_incarnation = incarnation_;
    reply.observation = observation_of(now, request.target);
    send(entry, std::move(reply), actions);
}

void owner_service::send(const host_id& entry, peer_message message, action_list& actions) const {
    actions.emplace_back(send_to_peer{entry, view_.peer_address(entry), std::move(message)});
}

} // namespace lovagemoor::core
