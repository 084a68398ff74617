#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lovagemoor::proxy {

void session_engine::on(const quota_answered& input) {
    if (input.grant.granted > 0) {
        out_.emplace_back(core::count_metric{
            "lovagemoor_quota_tokens_total", {}, static_cast<double>(input.grant.granted)});
    }
    count("lovagemoor_quota_answers_total", {{"result", input.grant.granted > 0 ? "granted"
                                                        : input.grant.not_owner ? "not_owner"
                                                                                : "refused"}});
    const std::optional<core::organisation_id> organisation =
        quota_client_.on_grant(now_, input.grant);
    if (organisation.has_value()) {
        dispatch_token_waiters(*organisation);
    }
}

void session_engine::on(const quota_owner_unreachable& input) {
    count("lovagemoor_quota_answers_total", {{"result", "unreachable"}});
    const std::optional<core::organisation_id> organisation =
        quota_client_.on_unreachable(now_, input.number);
    if (organisation.has_value()) {
        dispatch_token_waiters(*organisation);
    }
}

void session_engine::on(const quota_floor_changed& input) {
    quota_client_.set_floor(input.floor);
}

bool session_engine::needs_token(const session& caller) const {
    const request& work = *caller.current;
    return settings_.quota.window.count() > 0 && !work.token_taken && !work.organisation.empty() &&
           quota_client_.limits(work.organisation);
}

bool session_engine::prepare_token(session& caller, const target_state& target) {
    request& work = *caller.current;
    if (!needs_token(caller) || quota_client_.available(now_, work.organisation)) {
        return true;
    }
    if (pool_.has_idle(target, work.organisation)) {
        wait_for_token(caller);
        return false;
    }
    // The request waits for a connection. A token that it asks for again and again meanwhile would
    // expire unused each time.
    const bool is_new = !std::exchange(work.token_asked, true);
    std::optional<quota_refusal> refusal;
    if (is_new) {
        const quota_client::outcome asked = quota_client_.ask(now_, work.organisation, is_new);
        refusal = asked.refusal;
        if (asked.request.has_value()) {
            out_.emplace_back(request_quota{*asked.request});
        }
    } else {
        refusal = quota_client_.refusal(now_, work.organisation);
    }
    if (refusal.has_value()) {
        refuse_for_quota(caller, *refusal);
        return false;
    }
    return true;
}

void session_engine::wait_for_token(session& caller) {
    request& work = *caller.current;
    if (work.waits_for != wait_reason::quota) {
        work.token_awaited_since = now_;
    }
    const bool is_new = !std::exchange(work.token_asked, true);
    const quota_client::outcome asked = quota_client_.ask(now_, work.organisation, is_new);
    if (asked.request.has_value()) {
        out_.emplace_back(request_quota{*asked.request});
    }
    if (asked.refusal.has_value()) {
        refuse_for_quota(caller, *asked.refusal);
    } else if (now_ - work.token_awaited_since >= settings_.quota_wait) {
        refuse_for_quota(caller, {quota_refusal_reason::late, settings_.quota_wait});
    } else {
        enqueue_waiting(caller, wait_reason::quota);
    }
}

bool session_engine::take_token(session& caller) {
    request& work = *caller.current;
    if (!needs_token(caller)) {
        return true;
    }
    work.token_taken = quota_client_.take(now_, work.organisation);
    return work.token_taken;
}

void session_engine::refuse_for_quota(session& caller, const quota_refusal& refusal) {
    count("lovagemoor_quota_refusals_total", {{"reason", to_string(refusal.reason)}});
    const char* const text = refusal.reason == quota_refusal_reason::exceeded
                                 ? "the quota of the organisation is used up"
                                 : "no owner of the organisation's quota answers";
    refuse(caller, {statement_error_kind::busy, text, refusal.retry_after});
}

void session_engine::dispatch_token_waiters(const core::organisation_id& organisation) {
    const auto awaits_token = [&](session_id id) {
        const auto found = sessions_.find(id);
        return found != sessions_.end() && found->second.current.has_value() &&
               found->second.current->phase == request_phase::waiting &&
               found->second.current->organisation == organisation &&
               found->second.current->token_asked && !found->second.current->token_taken;
    };
    std::vector<session_id> waiting;
    for (const auto& [service, state] : services_) {
        std::copy_if(state.waiting.begin(), state.waiting.end(), std::back_inserter(waiting),
                     awaits_token);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [this](session_id left, session_id right) {
        return sessions_.at(left).current->received < sessions_.at(right).current->received;
    });
    for (const session_id id : waiting) {
        session& caller = sessions_.at(id);
        if (!awaits_token(id)) {
            continue;
        }
        std::erase(services_[caller.current->via->service].waiting, id);
        dispatch_request(caller);
        if (caller.current.has_value() && caller.current->phase == request_phase::waiting &&
            caller.current->waits_for == wait_reason::quota) {
            // The tokens are used up; the others wait too.
            break;
        }
    }
}

} // namespace lovagemoor::proxy
