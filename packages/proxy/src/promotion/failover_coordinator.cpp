#include <lovagemoor/proxy/promotion/failover_coordinator.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagemoor::proxy {

core::log_position call_promotion::commits_left_behind() const {
    const auto chosen = positions.find(target);
    if (chosen == positions.end()) {
        return 0;
    }
    replication_position newest = former_position.value_or(replication_position{});
    for (const auto& [id, position] : positions) {
        newest = std::max(newest, position);
    }
    // Indices count on over the terms.
    return newest.index - std::min(newest.index, chosen->second.index);
}

std::vector<failover_step>
failover_coordinator::advance(core::time_point now, const std::vector<failover_input>& inputs) {
    std::vector<failover_step> steps;
    for (const failover_input& input : inputs) {
        const auto found = attempts_.find(input.service);
        if (found != attempts_.end()) {
            advance_attempt(now, input, found->second, steps);
        } else if (input.cause != promotion_cause::none && !input.replicas.empty()) {
            start(now, input, steps);
        } else if (held_.contains(input.service)) {
            release(now, input.service, steps);
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
        request_lock(now, steps);
        return;
    }
    held_.erase(input.service);
    attempt& current = attempts_[input.service];
    current.started_at = now;
    current.cause = input.cause;
    current.former_primary = input.primary.value_or(core::target_id{});
    current.demotion_term = input.term + 1;
    if (input.newest_check.has_value()) {
        current.checked_position = input.newest_check->position;
    }
    inspect(now, input, current, steps);
}

void failover_coordinator::request_lock(core::time_point now, std::vector<failover_step>& steps) {
    if (!lock_requested_ && now >= next_lock_request_ && now >= lock_taken_until_) {
        lock_requested_ = true;
        next_lock_request_ = now + 2 * settings_.lock_duration;
        steps.emplace_back(request_promotion_lock{settings_.lock_duration});
    } else if (lock_requested_ && now >= next_lock_request_) {
        lock_requested_ = false;
    }
}

void failover_coordinator::release(core::time_point now, const core::service_id& service,
                                   std::vector<failover_step>& steps) {
    // Another host that holds the lock may rely on paused replicas.
    if (!holds_promotion_lock(now)) {
        request_lock(now, steps);
        return;
    }
    held_service& held = held_.at(service);
    if (now < held.next_release) {
        return;
    }
    held.next_release = now + settings_.inspection_limit;
    steps.emplace_back(release_replicas{service});
    if (++held.releases >= settings_.release_attempts) {
        held_.erase(service);
    }
}

void failover_coordinator::give_up(const core::service_id& service) {
    if (attempts_.at(service).holds_replication) {
        held_[service] = {};
    }
    attempts_.erase(service);
}

void failover_coordinator::inspect(core::time_point now, const failover_input& input,
                                   attempt& current, std::vector<failover_step>& steps) const {
    current.inspected_at = now;
    current.expected_position = current.checked_position;
    if (input.newest_check.has_value()) {
        current.checked_position = input.newest_check->position;
    }
    const core::term_number hold = input.synchronous_replicas > 0 ? current.demotion_term : 0;
    current.holds_replication = current.holds_replication || hold > 0;
    const bool demoted = current.current_stage == stage::demoting;
    steps.emplace_back(inspect_replicas{
        input.service, hold, {}, demoted ? current.former_primary : core::target_id{}});
}

bool failover_coordinator::inspection_done(core::time_point now, const failover_input& input,
                                           const attempt& current) const {
    std::size_t candidates = 0;
    std::size_t known = 0;
    for (const promotion_candidate& candidate : input.replicas) {
        if (candidate.target != current.former_primary) {
            ++candidates;
            known += current.positions.contains(candidate.target) ? 1 : 0;
        }
    }
    if (input.synchronous_replicas > 0) {
        // Every acknowledged commit is on at least synchronous_replicas of the replicas.
        return known + input.synchronous_replicas > candidates;
    }
    // A replica that is slow to answer may have commits that the known ones lack.
    const core::duration limit = newest_position(input, current) < current.expected_position
                                     ? settings_.inspection_limit
                                     : settings_.inspection_time;
    return known > 0 && (known >= candidates || now - current.started_at >= limit);
}

std::vector<core::target_id> failover_coordinator::awaited_replicas(const failover_input& input,
                                                                    const attempt& current) {
    const replication_position newest = newest_position(input, current);
    std::vector<core::target_id> awaited;
    for (const promotion_candidate& candidate : input.replicas) {
        const auto known = current.positions.find(candidate.target);
        const bool unlisted_holder = known != current.positions.end() && !candidate.listed &&
                                     known->second.received == newest;
        if (candidate.target != current.former_primary &&
            (known == current.positions.end() || unlisted_holder)) {
            awaited.push_back(candidate.target);
        }
    }
    return awaited;
}

replication_position failover_coordinator::newest_position(const failover_input& input,
                                                           const attempt& current) {
    replication_position newest;
    for (const promotion_candidate& candidate : input.replicas) {
        const auto known = current.positions.find(candidate.target);
        if (candidate.target != current.former_primary && known != current.positions.end()) {
            newest = std::max(newest, known->second.received);
        }
    }
    return newest;
}

bool failover_coordinator::may_lead_again(core::time_point now, const failover_input& input,
                                          const attempt& current) const {
    const bool about_to_end = input.replace_by.has_value() && now >= *input.replace_by;
    return current.final_position.has_value() && !about_to_end &&
           now - current.final_position_at >= settings_.catch_up_time &&
           now - current.former_primary_contact < settings_.catch_up_time;
}

std::optional<core::target_id> failover_coordinator::choose(core::time_point now,
                                                            const failover_input& input,
                                                            const attempt& current) const {
    const replication_position newest = newest_position(input, current);
    const bool former_leads_again = may_lead_again(now, input, current);
    std::optional<core::target_id> best;
    std::tuple<bool, bool, bool, replication_position, bool> best_rank;
    std::vector<promotion_candidate> candidates = input.replicas;
    if (former_leads_again && input.primary == current.former_primary) {
        // An old entry names the former primary as the primary, so it is not listed as a replica.
        candidates.push_back({current.former_primary, false});
    }
    for (const promotion_candidate& candidate : candidates) {
        const auto known = current.positions.find(candidate.target);
        if (known == current.positions.end() || current.rejected.contains(candidate.target) ||
            !candidate.listed) {
            continue;
        }
        if (input.synchronous_replicas > 0 && known->second.received < newest) {
            // The replicas with the newest position may be the only ones with the last acknowledged
            // commits.
            continue;
        }
        const bool former = candidate.target == current.former_primary;
        const std::tuple<bool, bool, bool, replication_position, bool> rank{
            has_caught_up(input, current, candidate.target) && (!former || former_leads_again),
            !former, !candidate.ends_soon, known->second.received, !candidate.draining};
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
        give_up(input.service);
        return;
    }
    // After the demotion, only a confirmed primary ends the attempt (on_primary): a claim may be an
    // old one, and the next attempt would not know since when hosts follow the demotion.
    if (current.current_stage == stage::inspecting && input.primary.has_value() &&
        *input.primary != current.former_primary) {
        // Another primary has appeared. If it is lost as well, the next attempt demotes it.
        give_up(input.service);
        return;
    }
    switch (current.current_stage) {
    case stage::inspecting:
        advance_inspection(now, input, current, steps);
        return;
    case stage::demoting:
        advance_demotion(now, input, current, steps);
        return;
    case stage::calling:
        if (now - current.called_at >= settings_.call_retry) {
            current.called_at = now;
            steps.emplace_back(promotion_call(input, current, true));
        }
        return;
    case stage::taking_over:
        if (now - current.called_at >= settings_.takeover_limit) {
            give_up(input.service);
        }
        return;
    }
}

void failover_coordinator::advance_inspection(core::time_point now, const failover_input& input,
                                              attempt& current, std::vector<failover_step>& steps) {
    if (input.cause == promotion_cause::none ||
        (current.positions.empty() && now - current.started_at > settings_.inspection_limit)) {
        give_up(input.service);
        return;
    }
    // The primary is only demoted once there is a target that can replace it.
    const std::optional<core::target_id> chosen = choose(now, input, current);
    const bool lagging = chosen.has_value() && lags_behind_primary(now, input, current, *chosen);
    if (!inspection_done(now, input, current) || !chosen.has_value() || lagging) {
        const core::duration interval =
            lagging ? settings_.lagging_inspection_interval : settings_.inspection_limit;
        if (now - current.inspected_at > interval) {
            inspect(now, input, current, steps);
            std::get<inspect_replicas>(steps.back()).awaited = awaited_replicas(input, current);
        }
        return;
    }
    if (current.leading_term > 0 && current.leading_term >= current.newest_term) {
        // The service has a newer primary that this host did not know.
        give_up(input.service);
        return;
    }
    current.current_stage = stage::demoting;
    current.demoting_since = now;
    current.inspected_at = now;
    if (!current.former_primary.value.empty()) {
        steps.emplace_back(
            demote_primary{{input.service, current.former_primary, current.demotion_term}});
    }
    advance_demotion(now, input, current, steps);
}

void failover_coordinator::advance_demotion(core::time_point now, const failover_input& input,
                                            attempt& current, std::vector<failover_step>& steps) {
    const std::optional<core::target_id> chosen = choose(now, input, current);
    if (!chosen.has_value()) {
        if (!current.rejected.empty()) {
            // Another host may have used a higher token, so calls with this one would be
            // rejected.
            fencing_token_.reset();
        }
        give_up(input.service);
        return;
    }
    const primary_demotion demotion{input.service, current.former_primary, current.demotion_term};
    if (is_demoted(now, current) && (has_caught_up(input, current, *chosen) ||
                                     now - current.final_position_at >= settings_.catch_up_time)) {
        current.chosen = *chosen;
        current.current_stage = stage::calling;
        current.called_at = now;
        steps.emplace_back(promotion_call(input, current, false));
        return;
    }
    // A lost primary is usually out of reach of this host, but others may still use it.
    const bool publishes = current.cause != promotion_cause::primary_draining ||
                           now - current.demoting_since >= settings_.demotion_time;
    if (publishes && !current.final_position.has_value() && !current.published_at.has_value() &&
        (!current.announced_at.has_value() ||
         now - *current.announced_at >= settings_.publication_retry)) {
        current.announced_at = now;
        steps.emplace_back(announce_demotion{demotion, *fencing_token_});
    }
    if (now - current.inspected_at >= settings_.inspection_interval) {
        inspect(now, input, current, steps);
        if (!current.final_position.has_value() && !demotion.target.value.empty()) {
            steps.emplace_back(demote_primary{demotion});
        }
    }
}

bool failover_coordinator::lags_behind_primary(core::time_point now, const failover_input& input,
                                               const attempt& current,
                                               const core::target_id& candidate) const {
    const bool in_reach = input.newest_check.has_value() &&
                          now - input.newest_check->at <= settings_.reach_time &&
                          input.primary == current.former_primary;
    const bool about_to_end = input.replace_by.has_value() && now >= *input.replace_by;
    return in_reach && !about_to_end && input.synchronous_replicas == 0 &&
           current.positions.at(candidate).received < current.expected_position;
}

call_promotion failover_coordinator::promotion_call(const failover_input& input,
                                                    const attempt& current, bool repeated) const {
    call_promotion call{input.service, current.chosen, *fencing_token_, {}, {}, repeated};
    for (const auto& [target, status] : current.positions) {
        call.positions[target] = status.received;
    }
    call.former_position = current.final_position;
    if (!call.former_position.has_value() && input.newest_check.has_value()) {
        call.former_position = input.newest_check->position;
    }
    return call;
}

bool failover_coordinator::is_demoted(core::time_point now, const attempt& current) const {
    return current.former_primary.value.empty() || current.final_position.has_value() ||
           (current.published_at.has_value() &&
            now - *current.published_at >= settings_.publication_delay);
}

bool failover_coordinator::has_caught_up(const failover_input& input, const attempt& current,
                                         const core::target_id& candidate) {
    // Replication into synchronous replicas is held, and each commit is on enough of them.
    return !current.final_position.has_value() || input.synchronous_replicas > 0 ||
           current.positions.at(candidate).received >= *current.final_position;
}

void failover_coordinator::on_promotion_lock_answered(core::time_point now,
                                                      const promotion_lock_answered& result) {
    lock_requested_ = false;
    next_lock_request_ = now + std::max(settings_.lock_retry_pause, result.retry_after);
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
    if (fencing_token_.has_value() && *fencing_token_ < end.fencing_token) {
        fencing_token_.reset();
    }
}

void failover_coordinator::on_registry_restored() {
    fencing_token_.reset();
    lock_requested_ = false;
    lock_taken_until_ = {};
    next_lock_request_ = {};
}

void failover_coordinator::on_status(core::time_point now, const core::service_id& service,
                                     const core::target_id& target, const target_status& status) {
    const auto found = attempts_.find(service);
    if (found == attempts_.end()) {
        return;
    }
    attempt& current = found->second;
    // Positions carry the term of the last commit, which may precede the current term.
    current.newest_term = std::max(current.newest_term, status.term);
    current.demotion_term = std::max(current.demotion_term, status.term + 1);
    if (status.primary) {
        if (target != current.former_primary) {
            current.leading_term = std::max(current.leading_term, status.term);
        }
        return;
    }
    current.positions[target] = status;
    if (target == current.former_primary) {
        current.former_primary_contact = now;
    }
    if (target == current.former_primary && current.current_stage == stage::demoting &&
        !current.final_position.has_value()) {
        current.final_position = status.received;
        current.final_position_at = now;
    }
}

void failover_coordinator::on_demotion_published(core::time_point now,
                                                 const demotion_publish_answered& answer) {
    const auto found = attempts_.find(answer.demotion.service);
    if (answer.published && found != attempts_.end() &&
        found->second.former_primary == answer.demotion.target) {
        found->second.published_at = now;
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
        current.current_stage = stage::demoting;
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
    if (found != attempts_.end() &&
        (target != found->second.former_primary || target == found->second.chosen)) {
        if (found->second.holds_replication && target != found->second.chosen) {
            held_[service] = {};
        }
        attempts_.erase(found);
    }
}

bool failover_coordinator::promoting(const core::service_id& service) const {
    return attempts_.contains(service);
}

} // namespace lovagemoor::proxy
