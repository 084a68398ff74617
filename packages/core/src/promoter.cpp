#include <lovagemoor/core/promoter.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// Delay before a failed call of an election is retried.
constexpr duration election_retry_pause = std::chrono::milliseconds{100};
/// Delay between attempts to record the primary after its promotion.
constexpr duration record_primary_retry_pause = std::chrono::milliseconds{500};
/// How long a planned promotion waits for replies of targets other than the present primary.
constexpr duration planned_choice_wait = std::chrono::milliseconds{300};
/// How long a term query waits for further targets once a majority has replied.
constexpr duration term_query_wait = std::chrono::milliseconds{300};
constexpr duration planned_interval = std::chrono::seconds{5};
constexpr duration scan_interval = std::chrono::milliseconds{250};

bool is_planned(promotion_reason reason) noexcept {
    return reason == promotion_reason::operator_request ||
           reason == promotion_reason::primary_leaving;
}

log_event describe(log_event::level severity, const char* name, const group_id& group,
                   term_number term) {
    return log_event{severity, name, {{"group", group.value}, {"term", std::to_string(term)}}};
}

} // namespace internal

const char* to_string(promotion_reason value) noexcept {
    switch (value) {
    case promotion_reason::primary_suspected:
        return "primary_suspected";
    case promotion_reason::first_election:
        return "first_election";
    case promotion_reason::election_stuck:
        return "election_stuck";
    case promotion_reason::primary_leaving:
        return "primary_leaving";
    case promotion_reason::operator_request:
        return "operator_request";
    }
    return "invalid";
}

promoter::promoter(const core_settings& settings, const cluster_view& view, id_source& ids,
                   std::function<bool(const group_id&)> is_suspected)
    : settings_{settings}, view_{view}, ids_{ids}, is_suspected_{std::move(is_suspected)} {}

void promoter::suspect(time_point now, const group_id& group, action_list& actions) {
    if (attempts_.contains(group) || view_.find_group(group) == nullptr) {
        return;
    }
    open_attempt(now, group, promotion_reason::primary_suspected);
    on_timer(now, actions);
}

promote_result promoter::request(time_point now, const group_id& group, action_list& actions) {
    if (view_.find_group(group) == nullptr) {
        return {false, "the platform does not list the group"};
    }
    if (attempts_.contains(group)) {
        return {false, "a promotion of the group is in progress"};
    }
    attempt& current = open_attempt(now, group, promotion_reason::operator_request);
    start_election(now, group, current, actions);
    return {true, {}};
}

bool promoter::on_control_finished(time_point now, const control_finished& finished,
                                   action_list& actions) {
    const auto call = calls_.find(finished.call);
    if (call == calls_.end()) {
        return false;
    }
    const issued_call issued = call->second;
    calls_.erase(call);
    const auto found = attempts_.find(issued.group);
    if (found == attempts_.end() || found->second.number != issued.attempt) {
        return true;
    }
    attempt& current = found->second;
    current.outstanding.erase(finished.target);
    switch (current.active_stage) {
    case stage::querying_terms:
        on_term_query_reply(now, issued.group, current, finished, actions);
        break;
    case stage::fencing:
        on_fence_reply(now, issued.group, current, finished, actions);
        break;
    case stage::promoting:
        on_promote_reply(now, issued.group, current, finished, actions);
        break;
    default:
        break;
    }
    return true;
}

bool promoter::on_platform_finished(time_point now, const platform_finished& finished,
                                    action_list& actions) {
    const auto call = calls_.find(finished.call);
    if (call == calls_.end()) {
        return false;
    }
    const issued_call issued = call->second;
    calls_.erase(call);
    const auto found = attempts_.find(issued.group);
    if (found == attempts_.end() || found->second.number != issued.attempt) {
        return true;
    }
    attempt& current = found->second;
    if (const platform_read* read = std::get_if<platform_read>(&finished.result)) {
        on_record_read(now, issued.group, current, read->record, actions);
    } else if (const auto* swapped = std::get_if<platform_swapped>(&finished.result)) {
        on_swapped(now, issued.group, current, *swapped, actions);
    } else {
        on_platform_failed(now, current, std::holds_alternative<platform_unknown>(finished.result));
    }
    return true;
}

void promoter::on_timer(time_point now, action_list& actions) {
    if (now >= next_scan_) {
        next_scan_ = now + internal::scan_interval;
        scan_groups(now);
    }
    std::vector<group_id> groups;
    groups.reserve(attempts_.size());
    for (const auto& [group, current] : attempts_) {
        groups.push_back(group);
    }
    for (const group_id& group : groups) {
        attempt& current = attempts_.at(group);
        const bool has_timeout = current.active_stage != stage::delayed &&
                                 current.active_stage != stage::recording_primary &&
                                 current.active_stage != stage::verifying_primary;
        if (has_timeout && now >= current.deadline) {
            abandon(now, group, "timeout", actions);
        } else if (now >= current.due) {
            run_stage(now, group, current, actions);
        }
    }
}

std::vector<platform_record> promoter::take_new_records() {
    return std::exchange(new_records_, {});
}

time_point promoter::next_wakeup() const {
    time_point wakeup = next_scan_;
    for (const auto& [group, current] : attempts_) {
        wakeup = std::min(wakeup, current.due);
        if (current.active_stage != stage::delayed &&
            current.active_stage != stage::recording_primary &&
            current.active_stage != stage::verifying_primary) {
            wakeup = std::min(wakeup, current.deadline);
        }
    }
    return wakeup;
}

promoter::attempt& promoter::open_attempt(time_point now, const group_id& group,
                                          promotion_reason reason) {
    attempt& current = attempts_[group];
    current = attempt{};
    current.number = ++last_attempt_;
    current.reason = reason;
    current.started_at = now;
    if (const term_record* record = view_.find_term(group)) {
        current.expected_term = record->term;
        current.expected_phase = record->phase;
        if (internal::is_planned(reason)) {
            current.avoided.insert(record->primary);
        }
    }
    if (internal::is_planned(reason)) {
        for (const target_record& target : view_.find_group(group)->targets) {
            if (target.leaving) {
                current.avoided.insert(target.id);
            }
        }
    }
    current.needs_term_query = current.expected_term == 0 || needs_term_query_.contains(group);
    current.due = now + candidate_delay(group, current.expected_term);
    return current;
}

duration promoter::candidate_delay(const group_id& group, term_number expected_term) const {
    const std::vector<host_id> ranked =
        rank_hosts(group.value + '/' + std::to_string(expected_term + 1),
                   view_.observers_of(group, settings_.observers_per_group));
    const auto self = std::find(ranked.begin(), ranked.end(), view_.self().id);
    return settings_.candidate_delay * (self - ranked.begin());
}

bool promoter::is_still_needed(const group_id& group, const attempt& current) const {
    const term_record* record = view_.find_term(group);
    const term_number term = record == nullptr ? 0 : record->term;
    if (term != current.expected_term ||
        (record != nullptr && record->phase != current.expected_phase)) {
        return false;
    }
    return current.reason != promotion_reason::primary_suspected || is_suspected_(group);
}

void promoter::start_election(time_point now, const group_id& group, attempt& current,
                              action_list& actions) {
    log_event started = internal::describe(log_event::level::info, "promotion_started", group,
                                           current.expected_term + 1);
    started.fields.emplace_back("reason", to_string(current.reason));
    actions.emplace_back(std::move(started));
    current.deadline = now + settings_.election_timeout;
    enter_stage(now, current, stage::reading);
    run_stage(now, group, current, actions);
}

void promoter::scan_groups(time_point now) {
    // A healthy group needs no check until the view changes. The check is skipped because a
    // deployment of the design size has hundreds of groups.
    if (scanned_generation_ == view_.generation() && !needs_scan_) {
        return;
    }
    scanned_generation_ = view_.generation();
    needs_scan_ = !attempts_.empty();
    const host_id& self = view_.self().id;
    for (const auto& [id, group] : view_.groups()) {
        if (attempts_.contains(id) || group.targets.empty() || !needs_promotion(group)) {
            continue;
        }
        const std::vector<host_id> observers =
            view_.observers_of(id, settings_.observers_per_group);
        if (std::find(observers.begin(), observers.end(), self) != observers.end()) {
            needs_scan_ = true;
            scan_group(now, group);
        }
    }
}

bool promoter::needs_promotion(const group_record& group) const {
    const term_record* record = view_.find_term(group.id);
    if (record == nullptr || record->phase == term_phase::electing) {
        return true;
    }
    const target_record* primary = view_.primary_of(group.id);
    const auto staying = std::count_if(group.targets.begin(), group.targets.end(),
                                       [](const target_record& target) { return !target.leaving; });
    const bool can_leave = static_cast<std::size_t>(staying) > group.targets.size() / 2;
    return primary == nullptr || (primary->leaving && can_leave);
}

void promoter::scan_group(time_point now, const group_record& group) {
    const term_record* record = view_.find_term(group.id);
    if (record == nullptr) {
        open_attempt(now, group.id, promotion_reason::first_election);
        return;
    }
    if (record->phase == term_phase::electing) {
        observed_election& observed = observed_elections_[group.id];
        if (observed.term != record->term) {
            observed = observed_election{record->term, now};
        }
        // This host has no attempt for the group, so a claim of its own has been abandoned.
        if (record->candidate == view_.self().id ||
            now >= observed.first_seen_at + settings_.election_timeout) {
            open_attempt(now, group.id, promotion_reason::election_stuck);
        }
        return;
    }
    time_point& planned_after = planned_after_[group.id];
    if (now >= planned_after) {
        planned_after = now + internal::planned_interval;
        open_attempt(now, group.id, promotion_reason::primary_leaving);
    }
}

void promoter::run_stage(time_point now, const group_id& group, attempt& current,
                         action_list& actions) {
    current.due = time_point::max();
    switch (current.active_stage) {
    case stage::delayed:
        if (is_still_needed(group, current)) {
            start_election(now, group, current, actions);
        } else {
            attempts_.erase(group);
        }
        break;
    case stage::reading:
    case stage::verifying_claim:
    case stage::verifying_primary:
        call_platform_for(group, current, read_term{group}, actions);
        break;
    case stage::querying_terms:
        call_targets(now, group, current, status_call{}, actions);
        finish_term_query(now, group, current, actions);
        break;
    case stage::claiming:
        claim_term(group, current, actions);
        break;
    case stage::fencing:
        call_targets(now, group, current, fence_call{current.term}, actions);
        choose_target(now, group, current, actions);
        break;
    case stage::promoting:
        break;
    case stage::recording_primary:
        record_primary(group, current, actions);
        break;
    }
}

void promoter::call_platform_for(const group_id& group, attempt& current,
                                 const platform_call& request, action_list& actions) {
    const call_id call = ids_.next();
    calls_.emplace(call, issued_call{group, current.number});
    actions.emplace_back(call_platform{call, request});
}

void promoter::call_targets(time_point now, const group_id& group, attempt& current,
                            const control_call& request, action_list& actions) {
    const group_record* record = view_.find_group(group);
    if (record == nullptr) {
        return;
    }
    for (const target_record& target : record->targets) {
        if (current.outstanding.contains(target.id) || current.replies.contains(target.id)) {
            continue;
        }
        const auto retry = current.retry_at.find(target.id);
        if (retry != current.retry_at.end() && retry->second > now) {
            current.due = std::min(current.due, retry->second);
            continue;
        }
        const call_id call = ids_.next();
        calls_.emplace(call, issued_call{group, current.number});
        current.outstanding.insert(target.id);
        actions.emplace_back(call_control{call, target, request, settings_.attest_timeout});
    }
}

void promoter::claim_term(const group_id& group, attempt& current, action_list& actions) {
    term_record value = current.record;
    value.group = group;
    value.term = current.term;
    value.phase = term_phase::electing;
    value.candidate = view_.self().id;
    value.primary = target_id{};
    call_platform_for(group, current, swap_term{current.revision, value}, actions);
}

void promoter::record_primary(const group_id& group, attempt& current, action_list& actions) {
    term_record value = current.record;
    value.phase = term_phase::serving;
    value.primary = current.chosen;
    value.history.push_back(term_start{current.term, current.start_position});
    call_platform_for(group, current, swap_term{current.revision, value}, actions);
}

void promoter::on_record_read(time_point now, const group_id& group, attempt& current,
                              const std::optional<platform_record>& record, action_list& actions) {
    const term_record* read =
        record.has_value() ? std::get_if<term_record>(&record->value) : nullptr;
    if (read != nullptr) {
        add_new_record(*record);
    }
    const term_number term = read == nullptr ? 0 : read->term;
    const bool is_own_claim =
        read != nullptr && term == current.term && read->candidate == view_.self().id;
    if (current.active_stage == stage::verifying_primary) {
        if (is_own_claim && read->phase == term_phase::serving) {
            complete(now, group, actions);
        } else if (is_own_claim) {
            current.revision = record->revision;
            enter_stage(now, current, stage::recording_primary);
            run_stage(now, group, current, actions);
        } else {
            abandon(now, group, "overtaken", actions);
        }
        return;
    }
    if (current.active_stage == stage::verifying_claim && is_own_claim &&
        read->phase == term_phase::electing) {
        current.record = *read;
        current.revision = record->revision;
        enter_stage(now, current, stage::fencing);
        run_stage(now, group, current, actions);
        return;
    }
    const bool is_expected =
        term == current.expected_term && (read == nullptr || read->phase == current.expected_phase);
    if (!is_expected) {
        abandon(now, group, "overtaken", actions);
        return;
    }
    current.record = read == nullptr ? term_record{} : *read;
    current.revision = read == nullptr ? 0 : record->revision;
    current.term = std::max(current.term, term + 1);
    const bool needs_query = current.active_stage == stage::reading && current.needs_term_query;
    enter_stage(now, current, needs_query ? stage::querying_terms : stage::claiming);
    run_stage(now, group, current, actions);
}

void promoter::on_swapped(time_point now, const group_id& group, attempt& current,
                          const platform_swapped& swapped, action_list& actions) {
    const term_record* record =
        swapped.current.has_value() ? std::get_if<term_record>(&swapped.current->value) : nullptr;
    if (record != nullptr) {
        add_new_record(*swapped.current);
    }
    if (!swapped.succeeded) {
        abandon(now, group, "overtaken", actions);
    } else if (record == nullptr) {
        on_platform_failed(now, current, true);
    } else if (current.active_stage == stage::claiming) {
        current.record = *record;
        current.revision = swapped.current->revision;
        enter_stage(now, current, stage::fencing);
        run_stage(now, group, current, actions);
    } else if (current.active_stage == stage::recording_primary) {
        complete(now, group, actions);
    }
}

void promoter::on_platform_failed(time_point now, attempt& current, bool is_unknown) {
    const bool is_recording = current.active_stage == stage::recording_primary ||
                              current.active_stage == stage::verifying_primary;
    if (is_unknown && current.active_stage == stage::claiming) {
        enter_stage(now, current, stage::verifying_claim);
    } else if (is_unknown && current.active_stage == stage::recording_primary) {
        enter_stage(now, current, stage::verifying_primary);
    } else {
        current.due = now + (is_recording ? internal::record_primary_retry_pause
                                          : internal::election_retry_pause);
    }
}

void promoter::on_term_query_reply(time_point now, const group_id& group, attempt& current,
                                   const control_finished& finished, action_list& actions) {
    const status_reply* reply = std::get_if<status_reply>(&finished.result);
    if (reply == nullptr) {
        current.retry_at[finished.target] = now + internal::election_retry_pause;
        current.due = std::min(current.due, now + internal::election_retry_pause);
    } else {
        current.replies[finished.target] =
            promise_reply{reply->promised_term, reply->last_term, reply->position};
        current.term = std::max({current.term, reply->promised_term + 1, reply->last_term + 1});
    }
    finish_term_query(now, group, current, actions);
}

void promoter::finish_term_query(time_point now, const group_id& group, attempt& current,
                                 action_list& actions) {
    if (!has_majority(group, current)) {
        return;
    }
    // A target that has promised a later term than the new one would reject the new term's log, so
    // the query waits a while for all targets.
    const time_point query_due = current.stage_entered_at + internal::term_query_wait;
    if (current.replies.size() < view_.find_group(group)->targets.size() && now < query_due) {
        current.due = std::min(current.due, query_due);
        return;
    }
    enter_stage(now, current, stage::claiming);
    run_stage(now, group, current, actions);
}

void promoter::on_fence_reply(time_point now, const group_id& group, attempt& current,
                              const control_finished& finished, action_list& actions) {
    const promise_reply* reply = std::get_if<promise_reply>(&finished.result);
    const control_error* error = std::get_if<control_error>(&finished.result);
    const bool is_superseded = (error != nullptr && error->sqlstate == sqlstate::term_superseded) ||
                               (reply != nullptr && reply->promised_term > current.term);
    if (is_superseded) {
        // Another candidate has claimed a later term, or the targets have promised a later term
        // than the record's.
        needs_term_query_.insert(group);
        abandon(now, group, "superseded", actions);
    } else if (reply == nullptr) {
        current.retry_at[finished.target] = now + internal::election_retry_pause;
        current.due = std::min(current.due, now + internal::election_retry_pause);
        choose_target(now, group, current, actions);
    } else {
        current.replies[finished.target] = *reply;
        choose_target(now, group, current, actions);
    }
}

void promoter::choose_target(time_point now, const group_id& group, attempt& current,
                             action_list& actions) {
    const group_record* record = view_.find_group(group);
    if (record == nullptr || !has_majority(group, current)) {
        return;
    }
    const std::optional<target_id> best = best_target(*record, current);
    const time_point choice_due = current.stage_entered_at + internal::planned_choice_wait;
    // To choose another target than the present primary, a planned promotion needs a majority
    // without it, so it waits for the remaining replies.
    const bool is_avoidable = best.has_value() && current.avoided.contains(*best);
    if (is_avoidable && !current.outstanding.empty() && now < choice_due) {
        current.due = std::min(current.due, choice_due);
        return;
    }
    const target_record* target = best.has_value() ? view_.find_target(*best) : nullptr;
    if (target == nullptr) {
        return;
    }
    current.chosen = *best;
    enter_stage(now, current, stage::promoting);
    current.due = time_point::max();
    const call_id call = ids_.next();
    calls_.emplace(call, issued_call{group, current.number});
    actions.emplace_back(
        call_control{call, *target, promote_call{current.term}, settings_.attest_timeout});
}

std::optional<target_id> promoter::best_target(const group_record& group,
                                               const attempt& current) const {
    std::size_t preferred = 0;
    for (const target_record& target : group.targets) {
        const bool counts =
            current.replies.contains(target.id) && !current.avoided.contains(target.id);
        preferred += counts ? 1 : 0;
    }
    // Each acknowledged write is held by at least one target of each majority. The best target of a
    // majority without the avoided ones is therefore as safe as the best of all targets.
    const bool can_avoid = preferred > group.targets.size() / 2;
    std::optional<std::tuple<term_number, log_position, bool>> best;
    std::optional<target_id> chosen;
    for (const target_record& target : group.targets) {
        const auto reply = current.replies.find(target.id);
        if (reply == current.replies.end() || (can_avoid && current.avoided.contains(target.id))) {
            continue;
        }
        const std::tuple<term_number, log_position, bool> log_rank{
            reply->second.last_term, reply->second.position, !target.leaving};
        if (!best.has_value() || log_rank > *best) {
            best = log_rank;
            chosen = target.id;
        }
    }
    return chosen;
}

void promoter::on_promote_reply(time_point now, const group_id& group, attempt& current,
                                const control_finished& finished, action_list& actions) {
    if (finished.target != current.chosen) {
        return;
    }
    if (const promote_reply* reply = std::get_if<promote_reply>(&finished.result)) {
        if (reply->term != current.term) {
            restart(now, group, "promote_failed", actions);
            return;
        }
        current.start_position = reply->start_position;
        enter_stage(now, current, stage::recording_primary);
        run_stage(now, group, current, actions);
        return;
    }
    const control_error* error = std::get_if<control_error>(&finished.result);
    if (error != nullptr && error->sqlstate == sqlstate::term_superseded) {
        needs_term_query_.insert(group);
        abandon(now, group, "superseded", actions);
        return;
    }
    restart(now, group, "promote_failed", actions);
}

void promoter::enter_stage(time_point now, attempt& current, stage next) {
    const bool clears_replies = next == stage::querying_terms || next == stage::fencing;
    if (clears_replies) {
        current.replies.clear();
        current.retry_at.clear();
        current.outstanding.clear();
    }
    current.active_stage = next;
    current.stage_entered_at = now;
    current.due = now;
}

void promoter::complete(time_point now, const group_id& group, action_list& actions) {
    const attempt& current = attempts_.at(group);
    const duration elapsed = now - current.started_at;
    log_event finished =
        internal::describe(log_event::level::info, "promotion_finished", group, current.term);
    finished.fields.emplace_back("primary", current.chosen.value);
    finished.fields.emplace_back("reason", to_string(current.reason));
    finished.fields.emplace_back("duration_ms", std::to_string(elapsed.count() / 1000));
    actions.emplace_back(std::move(finished));
    actions.emplace_back(
        observe_duration{"promotion_duration", {{"reason", to_string(current.reason)}}, elapsed});
    needs_term_query_.erase(group);
    attempts_.erase(group);
}

void promoter::abandon(time_point /*now*/, const group_id& group, const char* cause,
                       action_list& actions) {
    const attempt& current = attempts_.at(group);
    log_event abandoned =
        internal::describe(log_event::level::warning, "promotion_abandoned", group, current.term);
    abandoned.fields.emplace_back("cause", cause);
    actions.emplace_back(std::move(abandoned));
    actions.emplace_back(count_metric{"promotions_abandoned", {{"cause", cause}}});
    attempts_.erase(group);
    needs_scan_ = true;
}

void promoter::restart(time_point now, const group_id& group, const char* cause,
                       action_list& actions) {
    const attempt failed_attempt = attempts_.at(group);
    abandon(now, group, cause, actions);
    attempt& next = open_attempt(now, group, promotion_reason::election_stuck);
    next.started_at = failed_attempt.started_at;
    // The claimed term may have a primary by now, so the next attempt claims a new term.
    next.expected_term = failed_attempt.term;
    next.expected_phase = term_phase::electing;
    next.avoided = failed_attempt.avoided;
    next.avoided.insert(failed_attempt.chosen);
    next.due = now + internal::election_retry_pause;
}

bool promoter::has_majority(const group_id& group, const attempt& current) const {
    const group_record* record = view_.find_group(group);
    if (record == nullptr) {
        return false;
    }
    const auto replied = std::count_if(
        record->targets.begin(), record->targets.end(),
        [&current](const target_record& target) { return current.replies.contains(target.id); });
    return static_cast<std::size_t>(replied) > record->targets.size() / 2;
}

void promoter::add_new_record(const platform_record& record) {
    const bool is_new = record.revision > view_.revision_of(record_key(record));
    if (is_new) {
        new_records_.push_back(record);
    }
}

} // namespace lovagemoor::core
