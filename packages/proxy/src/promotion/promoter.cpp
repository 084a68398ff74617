#include <lovagemoor/proxy/promotion/promoter.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

std::vector<promoter_step> promoter::advance(core::time_point now,
                                             const std::vector<service_outlook>& outlooks) {
    std::vector<promoter_step> steps;
    for (const service_outlook& outlook : outlooks) {
        const auto found = attempts_.find(outlook.service);
        if (found != attempts_.end()) {
            advance_attempt(now, outlook, found->second, steps);
        } else if (outlook.cause != promotion_cause::none && !outlook.replicas.empty()) {
            start(now, outlook, steps);
        }
    }
    return steps;
}

bool promoter::holds_duty(core::time_point now) const {
    return token_.has_value() && now + settings_.claim_margin < token_until_;
}

bool promoter::claims_or_holds_duty(core::time_point now) const {
    return claiming_ || holds_duty(now);
}

void promoter::start(core::time_point now, const service_outlook& outlook,
                     std::vector<promoter_step>& steps) {
    if (!holds_duty(now)) {
        if (!claiming_ && now >= claim_after_ && now >= taken_until_) {
            claiming_ = true;
            claim_after_ = now + 2 * settings_.claim_duration;
            steps.emplace_back(request_duty{settings_.claim_duration});
        } else if (claiming_ && now >= claim_after_) {
            claiming_ = false;
        }
        return;
    }
    attempt& current = attempts_[outlook.service];
    current.since = now;
    current.former = outlook.primary.value_or(core::target_id{});
    const core::term_number hold = outlook.synchronous_replicas > 0 ? outlook.term + 1 : 0;
    steps.emplace_back(inspect_replicas{outlook.service, hold});
}

bool promoter::inspection_done(core::time_point now, const service_outlook& outlook,
                               const attempt& current) const {
    const core::duration waited = now - current.since;
    if (outlook.synchronous_replicas > 0) {
        // An acknowledged commit is on at least synchronous_replicas of them.
        return current.positions.size() + outlook.synchronous_replicas > outlook.replicas.size();
    }
    if (current.positions.size() >= outlook.replicas.size()) {
        return true;
    }
    return !current.positions.empty() && waited >= settings_.inspection_time;
}

std::optional<core::target_id> promoter::choose(const service_outlook& outlook,
                                                const attempt& current) const {
    std::optional<core::target_id> best;
    std::pair<bool, log_point> best_rank;
    for (const promotion_candidate& candidate : outlook.replicas) {
        const auto known = current.positions.find(candidate.target);
        if (known == current.positions.end() || current.rejected.contains(candidate.target)) {
            continue;
        }
        const std::pair<bool, log_point> rank{
            outlook.synchronous_replicas > 0 || !candidate.draining, known->second.received};
        if (!best.has_value() || rank > best_rank) {
            best = candidate.target;
            best_rank = rank;
        }
    }
    return best;
}

void promoter::advance_attempt(core::time_point now, const service_outlook& outlook,
                               attempt& current, std::vector<promoter_step>& steps) {
    if (!holds_duty(now)) {
        attempts_.erase(outlook.service);
        return;
    }
    switch (current.at) {
    case stage::inspecting: {
        if (outlook.cause == promotion_cause::none ||
            (current.positions.empty() && now - current.since > settings_.inspection_limit)) {
            attempts_.erase(outlook.service);
            return;
        }
        if (!inspection_done(now, outlook, current)) {
            return;
        }
        const std::optional<core::target_id> chosen = choose(outlook, current);
        if (!chosen.has_value()) {
            if (!current.rejected.empty()) {
                // Another holder may have used a higher token; this one is of no more use.
                token_.reset();
            }
            attempts_.erase(outlook.service);
            return;
        }
        current.chosen = *chosen;
        current.at = stage::calling;
        current.called = now;
        steps.emplace_back(call_promotion{outlook.service, *chosen, *token_});
        return;
    }
    case stage::calling:
        if (now - current.called >= settings_.call_retry) {
            current.called = now;
            steps.emplace_back(call_promotion{outlook.service, current.chosen, *token_});
        }
        return;
    case stage::taking_over:
        if (now - current.called >= settings_.takeover_limit) {
            attempts_.erase(outlook.service);
        }
        return;
    }
}

void promoter::on_duty(core::time_point now, const duty_claimed& result) {
    claiming_ = false;
    claim_after_ = now + settings_.claim_retry;
    if (result.result == duty_claim_result::acquired) {
        token_ = result.fencing_token;
        token_until_ = now + result.valid_for;
    }
}

void promoter::on_duty_taken(core::time_point now, const duty_taken& claim) {
    if (token_.has_value() && *token_ > claim.fencing_token) {
        return;
    }
    token_.reset();
    taken_until_ = now + settings_.claim_duration;
}

void promoter::on_duty_released(const duty_released& end) {
    taken_until_ = {};
    if (token_.has_value() && *token_ < end.revision) {
        token_.reset();
    }
}

void promoter::on_status(const core::service_id& service, const core::target_id& target,
                         const target_status& status) {
    const auto found = attempts_.find(service);
    if (found != attempts_.end() && !status.primary) {
        found->second.positions[target] = status;
    }
}

void promoter::on_promotion(core::time_point now, const promotion_answered& answer) {
    const auto found = attempts_.find(answer.service);
    if (found == attempts_.end() || found->second.at != stage::calling ||
        found->second.chosen != answer.target) {
        return;
    }
    attempt& current = found->second;
    switch (answer.result) {
    case promotion_result::accepted:
        current.at = stage::taking_over;
        current.called = now;
        break;
    case promotion_result::rejected:
        current.rejected.insert(answer.target);
        current.at = stage::inspecting;
        break;
    case promotion_result::overloaded:
    case promotion_result::unknown:
        // The call is repeated after call_retry: the first one may still be executed.
        break;
    }
}

void promoter::on_primary(const core::service_id& service, const core::target_id& target) {
    const auto found = attempts_.find(service);
    if (found != attempts_.end() && target != found->second.former) {
        attempts_.erase(found);
    }
}

bool promoter::promoting(const core::service_id& service) const {
    return attempts_.contains(service);
}

} // namespace lovagemoor::proxy
