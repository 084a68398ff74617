#include <lovagemoor/proxy/promotion/failover_coordinator.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

std::vector<failover_step>
failover_coordinator::advance(core::time_point now, const std::vector<failover_input>& inputs) {
    std::vector<failover_step> steps;
    for (const failover_input& input : inputs) {
        const auto found = attempts_.find(input.service);
        if (found != attempts_.end()) {
            advance_attempt(now, input, found->second, steps);
        } else if (input.cause != promotion_cause::none && !input.replicas.empty()) {
            start(now, input, steps);
        }
    }
    return steps;
}

bool failover_coordinator::holds_promotion_lock(core::time_point now) const {
    return fencing_token_.has_value() && now + settings_.lock_expiry_margin < lock_held_until_;
}

bool failover_coordinator::requests_or_holds_promotion_lock(core::time_point now) const {
    return lock_requested_ || holds_promotion_lock(now);
}

void failover_coordinator::start(core::time_point now, const failover_input& input,
                                 std::vector<failover_step>& steps) {
    if (!holds_promotion_lock(now)) {
        if (!lock_requested_ && now >= next_lock_request_ && now >= lock_taken_until_) {
            lock_requested_ = true;
            next_lock_request_ = now + 2 * settings_.lock_duration;
            steps.emplace_back(request_promotion_lock{settings_.lock_duration});
        } else if (lock_requested_ && now >= next_lock_request_) {
            lock_requested_ = false;
        }
        return;
    }
    attempt& current = attempts_[input.service];
    current.started_at = now;
    current.former_primary = input.primary.value_or(core::target_id{});
    const core::term_number hold = input.synchronous_replicas > 0 ? input.term + 1 : 0;
    steps.emplace_back(inspect_replicas{input.service, hold});
}

bool failover_coordinator::inspection_done(core::time_point now, const failover_input& input,
                                           const attempt& current) const {
    const core::duration waited = now - current.started_at;
    if (input.synchronous_replicas > 0) {
        // Every acknowledged commit is on at least synchronous_replicas of the replicas.
        return current.positions.size() + input.synchronous_replicas > input.replicas.size();
    }
    if (current.positions.size() >= input.replicas.size()) {
        return true;
    }
    return !current.positions.empty() && waited >= settings_.inspection_time;
}

std::optional<core::target_id> failover_coordinator::choose(const failover_input& input,
                                                            const attempt& current) const {
    std::optional<core::target_id> best;
    std::pair<bool, replication_position> best_rank;
    for (const promotion_candidate& candidate : input.replicas) {
        const auto known = current.positions.find(candidate.target);
        if (known == current.positions.end() || current.rejected.contains(candidate.target)) {
            continue;
        }
        const std::pair<bool, replication_position> rank{
            input.synchronous_replicas > 0 || !candidate.draining, known->second.received};
        if (!best.has_value() || rank > best_rank) {
            best = candidate.target;
            best_rank = rank;
        }
    }
    return best;
}

void failover_coordinator::advance_attempt(core::time_point now, const failover_input& input,
                                           attempt& current, std::vector<failover_step>& steps) {
    if (!holds_promotion_lock(now)) {
        attempts_.erase(input.service);
        return;
    }
    switch (current.current_stage) {
    case stage::inspecting: {
        if (input.cause == promotion_cause::none ||
            (current.positions.empty() && now - current.started_at > settings_.inspection_limit)) {
            attempts_.erase(input.service);
            return;
        }
        if (!inspection_done(now, input, current)) {
            return;
        }
        const std::optional<core::target_id> chosen = choose(input, current);
        if (!chosen.has_value()) {
            if (!current.rejected.empty()) {
                // Another host may have used a higher token, so calls with this one would be
                // rejected.
                fencing_token_.reset();
            }
            attempts_.erase(input.service);
            return;
        }
        current.chosen = *chosen;
        current.current_stage = stage::calling;
        current.called_at = now;
        steps.emplace_back(call_promotion{input.service, *chosen, *fencing_token_});
        return;
    }
    case stage::calling:
        if (now - current.called_at >= settings_.call_retry) {
            current.called_at = now;
            steps.emplace_back(call_promotion{input.service, current.chosen, *fencing_token_});
        }
        return;
    case stage::taking_over:
        if (now - current.called_at >= settings_.takeover_limit) {
            attempts_.erase(input.service);
        }
        return;
    }
}

void failover_coordinator::on_promotion_lock_answered(core::time_point now,
                                                      const promotion_lock_answered& result) {
    lock_requested_ = false;
    next_lock_request_ = now + settings_.lock_retry_pause;
    if (result.result == promotion_lock_result::acquired) {
        fencing_token_ = result.fencing_token;
        lock_held_until_ = now + result.valid_for;
    }
}

void failover_coordinator::on_promotion_lock_taken(core::time_point now,
                                                   const promotion_lock_taken& taken) {
    if (fencing_token_.has_value() && *fencing_token_ > taken.fencing_token) {
        return;
    }
    fencing_token_.reset();
    lock_taken_until_ = now + settings_.lock_duration;
}

void failover_coordinator::on_promotion_lock_released(const promotion_lock_released& end) {
    lock_taken_until_ = {};
    if (fencing_token_.has_value() && *fencing_token_ < end.revision) {
        fencing_token_.reset();
    }
}

void failover_coordinator::on_status(const core::service_id& service, const core::target_id& target,
                                     const target_status& status) {
    const auto found = attempts_.find(service);
    if (found != attempts_.end() && !status.primary) {
        found->second.positions[target] = status;
    }
}

void failover_coordinator::on_promotion(core::time_point now, const promotion_answered& answer) {
    const auto found = attempts_.find(answer.service);
    if (found == attempts_.end() || found->second.current_stage != stage::calling ||
        found->second.chosen != answer.target) {
        return;
    }
    attempt& current = found->second;
    switch (answer.result) {
    case promotion_result::accepted:
        current.current_stage = stage::taking_over;
        current.called_at = now;
        break;
    case promotion_result::rejected:
        current.rejected.insert(answer.target);
        current.current_stage = stage::inspecting;
        break;
    case promotion_result::overloaded:
    case promotion_result::unknown:
        // The call is repeated for the same target after call_retry, because the first one may
        // still be executed.
        break;
    }
}

void failover_coordinator::on_primary(const core::service_id& service,
                                      const core::target_id& target) {
    const auto found = attempts_.find(service);
    if (found != attempts_.end() && target != found->second.former_primary) {
        attempts_.erase(found);
    }
}

bool failover_coordinator::promoting(const core::service_id& service) const {
    return attempts_.contains(service);
}

} // namespace lovagemoor::proxy
