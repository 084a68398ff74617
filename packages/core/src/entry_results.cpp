#include <lovagemoor/core/entry_service.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

/// @file
/// @brief Handling of owners' replies in entry_service: rows, outcomes, retries and answers to
/// callers.

namespace lovagemoor::core {

namespace internal {

/// How long an outcome waits for row batches that have not arrived yet.
constexpr duration reorder_wait = std::chrono::milliseconds{50};
/// Divisor of the buffer limit. Rows up to this fraction of the limit are buffered instead of sent
/// to the caller, because a read can be retried only while the caller has no rows of it.
constexpr std::size_t held_back_share = 16;

/// @return True if a second run has no further effect or is prevented by the idempotency claim.
bool is_repeatable(const forward_request& request) noexcept {
    switch (request.operation) {
    case forwarded_operation::read:
    case forwarded_operation::begin:
        return true;
    case forwarded_operation::write:
        return !request.idempotency_key.empty();
    case forwarded_operation::in_transaction:
    case forwarded_operation::commit:
    case forwarded_operation::rollback:
        break;
    }
    return false;
}

/// @return True if another target or a newer view may accept the request.
bool may_be_retried(refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::stale_view:
    case refusal_reason::too_stale:
    case refusal_reason::target_leaving:
    case refusal_reason::host_leaving:
    case refusal_reason::no_primary:
    case refusal_reason::no_target:
        return true;
    default:
        return false;
    }
}

struct reason_of_outcome {
    std::string operator()(const done& /*result*/) const { return "none"; }

    std::string operator()(const refused& result) const { return to_string(result.reason); }

    std::string operator()(const failed& result) const { return to_string(result.reason); }

    std::string operator()(const outcome_unknown& result) const { return to_string(result.reason); }
};

std::string reason_name(const outcome& result) {
    return std::visit(reason_of_outcome{}, result);
}

/// @return True if the outcome counts as good in the service's error budget, false if it counts as
/// bad; unset if it does not count, as for errors of the caller and for planned stops.
std::optional<bool> is_good(const outcome& result) noexcept {
    if (const refused* refusal = std::get_if<refused>(&result)) {
        switch (refusal->reason) {
        case refusal_reason::invalid_request:
        case refusal_reason::unknown_service:
        case refusal_reason::invalid_token:
        case refusal_reason::invalid_transaction:
        case refusal_reason::host_leaving:
            return std::nullopt;
        default:
            return false;
        }
    }
    if (const failed* failure = std::get_if<failed>(&result)) {
        return failure->reason != failure_reason::transaction_lost;
    }
    return std::holds_alternative<done>(result);
}

struct call_labels {
    service_id service;
    urgency priority = urgency::normal;
    std::string session_token;
};

struct labels_of_call {
    call_labels operator()(const execute_request& call) const {
        return {call.service, call.priority, call.session_token};
    }

    call_labels operator()(const begin_request& call) const {
        return {call.service, call.priority, call.session_token};
    }

    call_labels operator()(const end_request& call) const {
        return {{}, urgency::normal, call.session_token};
    }
};

} // namespace internal

entry_service::pending_call* entry_service::find_attempt(const host_id& from, request_id attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return nullptr;
    }
    pending_call& call = calls_.at(found->second);
    return call.last_route.owner == from ? &call : nullptr;
}

void entry_service::on_rows(time_point now, const host_id& from, const forward_rows& rows,
                            action_list& actions) {
    pending_call* call = find_attempt(from, rows.id);
    if (call == nullptr) {
        return;
    }
    call->rows.add(rows.sequence, rows.batch);
    const std::size_t limit = settings_.max_buffered_result_bytes / internal::held_back_share;
    if (call->rows_delivered || call->rows.ready_bytes() > limit) {
        deliver_rows(*call, actions);
    }
    if (call->early_outcome.has_value() && call->rows.is_complete(call->early_outcome->batches)) {
        const forward_outcome result = std::move(*call->early_outcome);
        call->early_outcome.reset();
        on_complete(now, *call, result, actions);
    }
}

void entry_service::deliver_rows(pending_call& call, action_list& actions) {
    for (row_batch& batch : call.rows.extract_ready()) {
        actions.emplace_back(send_rows_to_caller{call.id, std::move(batch)});
        call.rows_delivered = true;
    }
}

void entry_service::on_outcome(time_point now, const host_id& from, const forward_outcome& result,
                               action_list& actions) {
    pending_call* call = find_attempt(from, result.id);
    if (call == nullptr || call->early_outcome.has_value()) {
        return;
    }
    if (observe_ && !result.observation.target.empty()) {
        observe_(now, result.observation);
    }
    on_result(now, *call, result, actions);
}

void entry_service::on_result(time_point now, pending_call& call, const forward_outcome& result,
                              action_list& actions) {
    if (std::holds_alternative<done>(result.result)) {
        if (call.rows.may_become_complete(result.batches)) {
            call.early_outcome = result;
            set_wakeup(call, now + internal::reorder_wait);
            return;
        }
        on_complete(now, call, result, actions);
        return;
    }
    end_attempt(call, false, actions);
    if (const refused* refusal = std::get_if<refused>(&result.result)) {
        on_refused(now, call, *refusal, actions);
    } else if (const outcome_unknown* unknown = std::get_if<outcome_unknown>(&result.result)) {
        on_unknown(now, call, unknown->reason, actions);
    } else {
        merge_position(call.call.session, result.shown);
        finish(now, call, result.result, {}, actions);
    }
}

void entry_service::on_complete(time_point now, pending_call& call, const forward_outcome& result,
                                action_list& actions) {
    const bool is_complete = call.rows.is_complete(result.batches);
    end_attempt(call, false, actions);
    if (!is_complete) {
        on_unknown(now, call, unknown_reason::connection_lost, actions);
        return;
    }
    deliver_rows(call, actions);
    merge_position(call.call.session, result.shown);
    std::string transaction;
    const forward_request& request = call.call.request;
    if (request.operation == forwarded_operation::begin) {
        const term_record* term = view_.find_term(request.group);
        transaction = sealer_.seal(transaction_handle{
            call.last_route.owner, result.owner_incarnation, request.service, request.group,
            call.last_route.target, term == nullptr ? 0 : term->term, result.transaction});
    }
    if (request.operation == forwarded_operation::read) {
        actions.emplace_back(
            count_metric{"reads_total",
                         {{"service", request.service.value},
                          {"role", call.last_is_primary ? "primary" : "replica"}}});
    }
    finish(now, call, result.result, std::move(transaction), actions);
}

void entry_service::on_refused(time_point now, pending_call& call, const refused& refusal,
                               action_list& actions) {
    const forward_request& request = call.call.request;
    const bool has_other_targets =
        request.operation == forwarded_operation::read && request.guard.max_age.has_value();
    const bool is_retried = !call.call.transaction_owner.has_value() &&
                            (internal::may_be_retried(refusal.reason) ||
                             (refusal.reason == refusal_reason::overloaded && has_other_targets &&
                              call.excluded.empty()));
    if (is_retried && !call.rows_delivered) {
        retry(now, call, refusal, actions);
    } else if (call.rows_delivered) {
        // The caller has rows, so the statement ran and cannot be reported as refused.
        finish(now, call, outcome_unknown{unknown_reason::connection_lost}, {}, actions);
    } else {
        finish(now, call, refusal, {}, actions);
    }
}

void entry_service::on_unknown(time_point now, pending_call& call, unknown_reason reason,
                               action_list& actions) {
    const forward_request& request = call.call.request;
    const bool can_change = reason == unknown_reason::connection_lost ||
                            reason == unknown_reason::host_lost ||
                            reason == unknown_reason::term_superseded;
    const bool is_retried = can_change && internal::is_repeatable(request) && !call.rows_delivered;
    if (!is_retried || now >= call.deadline) {
        finish(now, call, outcome_unknown{reason}, {}, actions);
        return;
    }
    call.unknown_effect = reason;
    retry(now, call, refused{refusal_reason::stale_view, {}, {}, {}}, actions);
}

void entry_service::retry(time_point now, pending_call& call, const refused& refusal,
                          action_list& actions) {
    call.rows = {};
    call.pending_refusal = refusal;
    if (call.call.request.guard.max_age.has_value()) {
        call.excluded.push_back(call.last_route.target);
    }
    try_send(now, call, trigger::refusal, actions);
}

void entry_service::finish(time_point now, pending_call& call, outcome result,
                           std::string transaction, action_list& actions) {
    const failed* failure = std::get_if<failed>(&result);
    const bool claims_no_effect =
        std::holds_alternative<refused>(result) ||
        (failure != nullptr && failure->reason == failure_reason::database_error);
    if (call.unknown_effect.has_value() && claims_no_effect) {
        // An earlier attempt may have run or may still run.
        result = outcome_unknown{*call.unknown_effect};
    }
    log_outcome(call, result, actions);
    const forward_request& request = call.call.request;
    count_outcome(now, request.service, request.priority, now - call.received_at, result, actions);
    actions.emplace_back(
        answer_caller{call.id, std::move(result), sealed_session(call), std::move(transaction)});
    set_wakeup(call, time_point::max());
    parked_.erase(call.id);
    const request_id id = call.id;
    calls_.erase(id);
}

void entry_service::refuse_call(time_point now, const caller_called& called, refused refusal,
                                action_list& actions) {
    const internal::call_labels labels = std::visit(internal::labels_of_call{}, called.request);
    const outcome result = std::move(refusal);
    count_outcome(now, labels.service, labels.priority, duration{0}, result, actions);
    actions.emplace_back(answer_caller{called.id, result, labels.session_token, {}});
}

void entry_service::count_outcome(time_point now, const service_id& service, urgency priority,
                                  duration elapsed, const outcome& result, action_list& actions) {
    // Callers choose the service name, so all unknown names share one label, which limits the
    // number of time series.
    const std::string name =
        view_.find_service(service) == nullptr ? std::string{"unknown"} : service.value;
    actions.emplace_back(count_metric{"requests_total",
                                      {{"service", name},
                                       {"urgency", to_string(priority)},
                                       {"outcome", outcome_kind(result)},
                                       {"reason", internal::reason_name(result)}}});
    actions.emplace_back(observe_duration{
        "request_duration", {{"service", name}, {"urgency", to_string(priority)}}, elapsed});
    const std::optional<bool> good = internal::is_good(result);
    if (good.has_value() && view_.find_service(service) != nullptr) {
        burn_.record(now, service, priority, *good);
    }
}

void entry_service::log_outcome(const pending_call& call, const outcome& result,
                                action_list& actions) const {
    const refused* refusal = std::get_if<refused>(&result);
    const failed* failure = std::get_if<failed>(&result);
    const bool is_logged =
        std::holds_alternative<outcome_unknown>(result) ||
        (refusal != nullptr && refusal->reason == refusal_reason::session_diverged) ||
        (failure != nullptr && failure->reason == failure_reason::transaction_lost);
    if (!is_logged) {
        return;
    }
    actions.emplace_back(log_event{log_event::level::warning,
                                   "request_ended",
                                   {{"request", std::to_string(call.id)},
                                    {"service", call.call.request.service.value},
                                    {"group", call.call.request.group.value},
                                    {"target", call.last_route.target.value},
                                    {"owner", call.last_route.owner.value},
                                    {"attempts", std::to_string(call.attempts)},
                                    {"outcome", outcome_kind(result)},
                                    {"reason", internal::reason_name(result)}}});
}

std::string entry_service::sealed_session(const pending_call& call) const {
    session_token token = call.call.session;
    token.configuration_version =
        std::max(token.configuration_version, view_.current_configuration().version);
    return sealer_.seal(token);
}

std::string entry_service::alternative_host(request_id id) const {
    std::vector<host_id> candidates = view_.live_hosts();
    std::erase(candidates, view_.self().id);
    if (candidates.empty()) {
        return {};
    }
    // Spreads the callers of a leaving host over all live hosts.
    const host_id chosen = rank_hosts(std::to_string(id), std::move(candidates)).front();
    const member_update* member = view_.find_member(chosen);
    return member == nullptr ? std::string{} : member->host.caller_address;
}

} // namespace lovagemoor::core
