#include <lovagemoor/core/acknowledger.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace lovagemoor::core {

namespace internal {

/// Delay before an unreachable target is called again while requests wait for it.
constexpr duration unreachable_retry_interval = std::chrono::milliseconds{50};

bool satisfies(const promise_reply& reply, const attest_call& asked) noexcept {
    return reply.promised_term <= asked.term &&
           (asked.position == 0 ||
            (reply.last_term == asked.term && reply.position >= asked.position));
}

} // namespace internal

acknowledger::acknowledger(const core_settings& settings, const cluster_view& view, id_source& ids)
    : settings_{settings}, view_{view}, ids_{ids} {}

void acknowledger::submit(time_point now, const acknowledgement_request& request,
                          action_list& actions) {
    // Several events may have the same time. The call identifier excludes calls that were issued at
    // this time but before the request's work was finished.
    const call_id issued_after = request.not_before >= now ? ids_.next() : 0;
    group_state& state = groups_[request.group];
    state.pending[request.id] = pending_request{request, issued_after};
    update_group(now, request.group, state, actions);
}

bool acknowledger::on_control_finished(time_point now, const control_finished& finished,
                                       action_list& actions) {
    const auto call = calls_.find(finished.call);
    if (call == calls_.end()) {
        return false;
    }
    const auto [group, target] = call->second;
    calls_.erase(call);
    group_state& state = groups_[group];
    target_state& answered = state.targets[target];
    if (!answered.outstanding.has_value()) {
        return true;
    }
    const outstanding_call ended_call = *answered.outstanding;
    answered.outstanding.reset();
    if (const promise_reply* reply = std::get_if<promise_reply>(&finished.result)) {
        answered.last = attestation{ended_call.call, ended_call.issued_at, *reply};
        const bool is_satisfied = internal::satisfies(*reply, ended_call.request);
        answered.retry_at = is_satisfied ? now : ended_call.issued_at + settings_.attest_wait;
    } else {
        answered.retry_at = now + internal::unreachable_retry_interval;
    }
    update_group(now, group, state, actions);
    return true;
}

void acknowledger::on_timer(time_point now, action_list& actions) {
    for (auto& [group, state] : groups_) {
        if (state.wakeup <= now) {
            update_group(now, group, state, actions);
        }
    }
}

std::vector<acknowledgement> acknowledger::take_finished() {
    return std::exchange(finished_, {});
}

time_point acknowledger::next_wakeup() const {
    time_point wakeup = time_point::max();
    for (const auto& [group, state] : groups_) {
        wakeup = std::min(wakeup, state.wakeup);
    }
    return wakeup;
}

void acknowledger::update_group(time_point now, const group_id& group, group_state& state,
                                action_list& actions) {
    const group_record* record = view_.find_group(group);
    finish_decided(now, record, state);
    state.wakeup = time_point::max();
    for (const auto& [id, pending] : state.pending) {
        state.wakeup = std::min(state.wakeup, pending.request.deadline);
    }
    if (record == nullptr || state.pending.empty()) {
        return;
    }
    for (const target_record& target : record->targets) {
        issue_call(now, group, target, state, actions);
    }
}

void acknowledger::finish_decided(time_point now, const group_record* group, group_state& state) {
    for (auto entry = state.pending.begin(); entry != state.pending.end();) {
        const std::optional<acknowledgement_status> status =
            decide(now, entry->second, group, state);
        if (status.has_value()) {
            const bool has_holder =
                *status == acknowledgement_status::acknowledged && group != nullptr;
            finished_.push_back(acknowledgement{
                entry->first, *status,
                has_holder ? find_holder(entry->second, *group, state) : target_id{}});
            entry = state.pending.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::optional<acknowledgement_status> acknowledger::decide(time_point now,
                                                           const pending_request& pending,
                                                           const group_record* group,
                                                           const group_state& state) const {
    std::size_t count = 0;
    // A target that the group record no longer lists does not count towards the majority, but its
    // promise of a later term still proves that the term has been replaced.
    for (const auto& [id, target] : state.targets) {
        if (target.last.has_value() && target.last->reply.promised_term > pending.request.term) {
            return acknowledgement_status::superseded;
        }
    }
    if (group != nullptr) {
        for (const target_record& target : group->targets) {
            const auto found = state.targets.find(target.id);
            if (found != state.targets.end() && attests(pending, target.id, found->second)) {
                ++count;
            }
        }
        if (count > group->targets.size() / 2) {
            return acknowledgement_status::acknowledged;
        }
    }
    if (pending.request.deadline <= now) {
        return acknowledgement_status::no_quorum;
    }
    return std::nullopt;
}

target_id acknowledger::find_holder(const pending_request& pending, const group_record& group,
                                    const group_state& state) const {
    const target_record* primary = view_.primary_of(pending.request.group);
    if (pending.request.position == 0 || !pending.request.position_on_replicas) {
        return {};
    }
    for (const target_record& target : group.targets) {
        const auto found = state.targets.find(target.id);
        const bool is_replica = primary != nullptr && primary->id != target.id;
        if (is_replica && found != state.targets.end() &&
            attests(pending, target.id, found->second)) {
            return target.id;
        }
    }
    return {};
}

log_position acknowledger::position_needed(const acknowledgement_request& request,
                                           const target_id& target) const {
    if (request.position_on_replicas || request.position == 0) {
        return request.position;
    }
    const term_record* term = view_.find_term(request.group);
    const bool is_replica = term != nullptr && term->term == request.term &&
                            term->phase == term_phase::serving && term->primary != target;
    // Every term begins with a log entry, so position 1 requires any entry of the term.
    return is_replica ? 1 : request.position;
}

bool acknowledger::attests(const pending_request& pending, const target_id& target,
                           const target_state& state) const {
    if (!state.last.has_value() || state.last->issued_at < pending.request.not_before ||
        state.last->call <= pending.issued_after) {
        return false;
    }
    const attest_call needed{pending.request.term, position_needed(pending.request, target), {}};
    return internal::satisfies(state.last->reply, needed);
}

std::optional<attest_call> acknowledger::needed_call(const target_id& target,
                                                     const group_state& state) const {
    std::optional<attest_call> needed;
    const auto found = state.targets.find(target);
    for (const auto& [id, pending] : state.pending) {
        if (found != state.targets.end() && attests(pending, target, found->second)) {
            continue;
        }
        const acknowledgement_request& request = pending.request;
        const log_position position = position_needed(request, target);
        if (!needed.has_value() || request.term > needed->term) {
            needed = attest_call{request.term, position, settings_.attest_wait};
        } else if (request.term == needed->term) {
            needed->position = std::max(needed->position, position);
        }
    }
    return needed;
}

void acknowledger::issue_call(time_point now, const group_id& group_name,
                              const target_record& target, group_state& group,
                              action_list& actions) {
    target_state& state = group.targets[target.id];
    if (state.outstanding.has_value()) {
        return;
    }
    const std::optional<attest_call> needed = needed_call(target.id, group);
    if (!needed.has_value()) {
        return;
    }
    if (state.retry_at > now) {
        group.wakeup = std::min(group.wakeup, state.retry_at);
        return;
    }
    const call_id call = ids_.next();
    state.outstanding = outstanding_call{call, now, *needed};
    calls_.emplace(call, std::pair{group_name, target.id});
    actions.emplace_back(call_control{call, target, *needed, settings_.attest_timeout});
}

} // namespace lovagemoor::core
