#include <lovagemoor/core/entry_service.hpp>

#include <lovagemoor/core/placement.hpp>
#include <lovagemoor/core/read_router.hpp>

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

/// @file
/// @brief Routing of calls to owners in entry_service: target selection, parking, retry pauses and
/// deadlines.

namespace lovagemoor::core {

namespace internal {

using std::chrono_literals::operator""ms;

/// Pause before a refused call is sent again over the same route; it doubles with each attempt. The
/// call cannot only wait for a change of this host's view, because the owner's view may be the
/// outdated one.
constexpr duration min_retry_pause = 10ms;
constexpr duration max_retry_pause = 320ms;
/// Pause before the next attempt when the retry budget is exhausted.
constexpr duration budget_pause = 100ms;

duration retry_pause(std::uint32_t attempts) noexcept {
    const std::uint32_t doublings = std::min<std::uint32_t>(attempts, 5);
    return std::min(max_retry_pause, min_retry_pause * (1 << doublings));
}

/// @return Number before the first attempt of the given incarnation. Attempt numbers grow from one
/// incarnation of a host to the next, so that neither an owner nor this host mistakes a message of
/// an earlier process for one of this process. The incarnation may be a small counter or a
/// timestamp; the shift leaves as many numbers per incarnation as fit beside it, 40 bits at most.
request_id first_attempt(incarnation_number incarnation) noexcept {
    constexpr int most_bits_for_attempts = 40;
    const int free_bits = std::max(1, std::countl_zero(incarnation)) - 1;
    return incarnation << std::min(most_bits_for_attempts, free_bits);
}

bool is_read(const forward_request& request) noexcept {
    return request.operation == forwarded_operation::read;
}

} // namespace internal

entry_service::entry_service(const core_settings& settings, const cluster_view& view,
                             id_source& /*ids*/, token_sealer sealer, observation_hook observe)
    : settings_{settings},
      view_{view},
      sealer_{std::move(sealer)},
      observe_{std::move(observe)},
      budget_{settings.retry_budget_ratio, settings.retry_budget_burst},
      last_attempt_{internal::first_attempt(view.incarnation())} {}

void entry_service::on_caller(time_point now, const caller_called& called, action_list& actions) {
    if (draining_ && !has_transaction(called.request)) {
        refuse_call(now, called,
                    {refusal_reason::host_leaving, {}, alternative_host(called.id), {}}, actions);
        return;
    }
    check_result<checked_call> checked = check_call(settings_, sealer_, called.request);
    if (!checked.has_value()) {
        refuse_call(now, called, checked.assume_error(), actions);
        return;
    }
    budget_.on_request();
    pending_call& call = calls_[called.id];
    call.id = called.id;
    call.call = std::move(checked.assume_value());
    call.received_at = now;
    call.deadline = now + call.call.timeout;
    try_send(now, call, trigger::arrival, actions);
}

void entry_service::on_cancelled(time_point /*now*/, const caller_cancelled& cancelled,
                                 action_list& actions) {
    const auto found = calls_.find(cancelled.id);
    if (found == calls_.end()) {
        return;
    }
    pending_call& call = found->second;
    end_attempt(call, true, actions);
    set_wakeup(call, time_point::max());
    parked_.erase(call.id);
    calls_.erase(found);
}

void entry_service::on_view_changed(time_point now, action_list& actions) {
    const std::vector<request_id> parked{parked_.begin(), parked_.end()};
    for (const request_id id : parked) {
        try_send(now, calls_.at(id), trigger::view_change, actions);
    }
}

void entry_service::on_host_lost(time_point now, const host_id& host, action_list& actions) {
    std::vector<request_id> affected;
    for (const auto& [id, call] : calls_) {
        if (call.attempt != 0 && call.last_route.owner == host) {
            affected.push_back(id);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (const request_id id : affected) {
        pending_call& call = calls_.at(id);
        const forwarded_operation operation = call.call.request.operation;
        // The host may have been declared dead by mistake; the cancellation then makes it discard
        // the request.
        end_attempt(call, true, actions);
        if (operation == forwarded_operation::in_transaction ||
            operation == forwarded_operation::rollback) {
            finish(now, call, failed{failure_reason::transaction_lost, {}, {}}, {}, actions);
        } else {
            on_unknown(now, call, unknown_reason::host_lost, actions);
        }
    }
}

void entry_service::on_timer(time_point now, action_list& actions) {
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        pending_call& call = calls_.at(wakeups_.begin()->second);
        set_wakeup(call, time_point::max());
        on_call_timer(now, call, actions);
    }
}

void entry_service::on_call_timer(time_point now, pending_call& call, action_list& actions) {
    if (call.early_outcome.has_value()) {
        const forward_outcome result = std::move(*call.early_outcome);
        call.early_outcome.reset();
        on_complete(now, call, result, actions);
        return;
    }
    if (call.attempt == 0) {
        try_send(now, call, trigger::timer, actions);
        return;
    }
    end_attempt(call, true, actions);
    finish(now, call, outcome_unknown{unknown_reason::deadline}, {}, actions);
}

void entry_service::drain(time_point /*now*/, action_list& /*actions*/) {
    draining_ = true;
}

time_point entry_service::next_wakeup() const noexcept {
    return wakeups_.empty() ? time_point::max() : wakeups_.begin()->first;
}

void entry_service::set_wakeup(pending_call& call, time_point wakeup) {
    if (call.wakeup != time_point::max()) {
        wakeups_.erase({call.wakeup, call.id});
    }
    call.wakeup = wakeup;
    if (wakeup != time_point::max()) {
        wakeups_.emplace(wakeup, call.id);
    }
}

void entry_service::try_send(time_point now, pending_call& call, trigger cause,
                             action_list& actions) {
    if (cause != trigger::arrival && now >= call.deadline) {
        finish(now, call, call.pending_refusal, {}, actions);
        return;
    }
    if (!is_ready(now, call, actions)) {
        return;
    }
    const std::optional<route> chosen = select_route(now, call, actions);
    if (chosen.has_value() && may_send(now, call, *chosen, cause, actions)) {
        send(now, call, *chosen, actions);
    }
}

bool entry_service::is_ready(time_point now, pending_call& call, action_list& actions) {
    if (call.call.transaction_owner.has_value()) {
        return true;
    }
    if (!select_group_once(now, call, actions)) {
        return false;
    }
    const group_position shown = position_in(call.call.session, call.call.request.group);
    switch (shown.term == 0 ? position_validity::valid : view_.check_position(shown)) {
    case position_validity::valid:
        return true;
    case position_validity::ahead:
        park(now, call, refusal_reason::stale_view, duration::max(), actions);
        return false;
    case position_validity::diverged:
        break;
    }
    finish(now, call, refused{refusal_reason::session_diverged, {}, {}, {}}, {}, actions);
    return false;
}

bool entry_service::select_group_once(time_point now, pending_call& call, action_list& actions) {
    forward_request& request = call.call.request;
    if (!request.group.empty()) {
        return true;
    }
    // The session has seen a newer configuration, which may have other services and groups.
    if (call.call.session.configuration_version > view_.current_configuration().version) {
        park(now, call, refusal_reason::stale_view, duration::max(), actions);
        return false;
    }
    const service_record* service = view_.find_service(request.service);
    if (service == nullptr || service->groups.empty()) {
        const refusal_reason reason =
            service == nullptr ? refusal_reason::unknown_service : refusal_reason::no_target;
        finish(now, call, refused{reason, {}, {}, {}}, {}, actions);
        return false;
    }
    // The group stays the same for all attempts: a retry in another group would not find the
    // idempotency claim of the first attempt.
    request.group = select_group(call.call.shard_key, service->groups);
    const std::chrono::milliseconds accepted = std::min(
        call.call.max_staleness.value_or(std::chrono::milliseconds{0}), service->max_staleness);
    if (accepted.count() > 0) {
        request.guard.max_age = accepted;
    }
    return true;
}

std::optional<entry_service::route> entry_service::select_route(time_point now, pending_call& call,
                                                                action_list& actions) {
    if (call.call.transaction_owner.has_value()) {
        return transaction_route(now, call, actions);
    }
    const std::optional<target_id> target = select_target(now, call);
    if (!target.has_value() && !call.excluded.empty()) {
        // Every target was tried, so all of them are tried again after a pause.
        call.excluded.clear();
        park(now, call, call.pending_refusal.reason, internal::retry_pause(call.attempts), actions);
        return std::nullopt;
    }
    if (!target.has_value()) {
        const bool any_target = call.call.request.guard.max_age.has_value();
        park(now, call, any_target ? refusal_reason::no_target : refusal_reason::no_primary,
             any_target ? internal::retry_pause(call.attempts) : duration::max(), actions);
        return std::nullopt;
    }
    const std::optional<host_id> owner = view_.owner_of(*target);
    if (!owner.has_value() || view_.peer_address(*owner).empty()) {
        park(now, call, refusal_reason::no_target, duration::max(), actions);
        return std::nullopt;
    }
    return route{*owner, *target};
}

std::optional<target_id> entry_service::select_target(time_point now, pending_call& call) {
    const forward_request& request = call.call.request;
    const target_record* primary = view_.primary_of(request.group);
    call.last_is_primary = true;
    if (!request.guard.max_age.has_value()) {
        return primary == nullptr ? std::nullopt : std::optional{primary->id};
    }
    const group_position shown = position_in(call.call.session, request.group);
    read_requirement requirement{request.group, request.guard, call.excluded, call.id,
                                 shown.holder};
    requirement.guard.term = shown.term;
    requirement.guard.position = shown.position;
    const std::optional<read_choice> choice = select_read_target(now, view_, requirement);
    if (!choice.has_value()) {
        return std::nullopt;
    }
    call.last_is_primary = choice->is_primary;
    return choice->target;
}

std::optional<entry_service::route>
entry_service::transaction_route(time_point now, pending_call& call, action_list& actions) {
    const host_id& owner = *call.call.transaction_owner;
    const member_update* member = view_.find_member(owner);
    const bool is_reachable =
        owner == view_.self().id || (member != nullptr && member->state != member_state::dead);
    if (!is_reachable) {
        finish(
            now, call,
            refused{refusal_reason::invalid_transaction, {}, {}, "the transaction's host is gone"},
            {}, actions);
        return std::nullopt;
    }
    return route{owner, call.call.request.target};
}

bool entry_service::may_send(time_point now, pending_call& call, const route& chosen, trigger cause,
                             action_list& actions) {
    if (call.attempts == 0) {
        return true;
    }
    const refusal_reason reason = call.pending_refusal.reason;
    if (cause == trigger::refusal && chosen == call.last_route) {
        if (reason == refusal_reason::overloaded) {
            finish(now, call, call.pending_refusal, {}, actions);
            return false;
        }
        park(now, call, reason, internal::retry_pause(call.attempts), actions);
        return false;
    }
    if (cause == trigger::view_change && chosen == call.last_route) {
        return false;
    }
    // A retry costs no budget if the primary or the owner changed, because it does not repeat the
    // same load.
    const bool has_moved = !internal::is_read(call.call.request) ||
                           !call.call.request.guard.max_age.has_value() ||
                           chosen.target == call.last_route.target;
    if (chosen != call.last_route && has_moved) {
        return true;
    }
    if (!budget_.try_retry()) {
        if (reason == refusal_reason::overloaded) {
            // Waiting for retry budget during an overload would end with the same refusal, only
            // later, at the deadline.
            finish(now, call, call.pending_refusal, {}, actions);
            return false;
        }
        park(now, call, reason, internal::budget_pause, actions);
        return false;
    }
    return true;
}

void entry_service::send(time_point now, pending_call& call, const route& chosen,
                         action_list& actions) {
    forward_request request = call.call.request;
    const group_position shown = position_in(call.call.session, request.group);
    request.id = ++last_attempt_;
    request.target = chosen.target;
    request.remaining = call.deadline - now;
    request.guard.term = shown.term;
    request.guard.position = shown.position;
    parked_.erase(call.id);
    call.attempt = request.id;
    ++call.attempts;
    call.last_route = chosen;
    call.rows = {};
    attempts_[request.id] = call.id;
    set_wakeup(call, call.deadline + settings_.deadline_grace);
    actions.emplace_back(
        send_to_peer{chosen.owner, view_.peer_address(chosen.owner), std::move(request)});
}

void entry_service::park(time_point now, pending_call& call, refusal_reason reason, duration pause,
                         action_list& actions) {
    call.pending_refusal = refused{reason, internal::max_retry_pause, {}, {}};
    if (!parked_.contains(call.id) && parked_.size() >= settings_.max_parked_requests) {
        finish(now, call, call.pending_refusal, {}, actions);
        return;
    }
    parked_.insert(call.id);
    const bool until_deadline = pause >= call.deadline - now;
    set_wakeup(call, until_deadline ? call.deadline : now + pause);
}

void entry_service::end_attempt(pending_call& call, bool cancel, action_list& actions) {
    if (call.attempt == 0) {
        return;
    }
    if (cancel) {
        const host_id& owner = call.last_route.owner;
        actions.emplace_back(
            send_to_peer{owner, view_.peer_address(owner), forward_cancel{call.attempt}});
    }
    attempts_.erase(call.attempt);
    call.attempt = 0;
    call.early_outcome.reset();
}

} // namespace lovagemoor::core
