#include <lovagemoor/core/primary_monitor.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace lovagemoor::core {

namespace internal {

/// Maximum number of outstanding status calls to one target. More than one is allowed so that a
/// slow target is polled at the usual rate and one hung connection does not stop the polling.
constexpr std::size_t max_outstanding_polls = 3;
/// Number of report intervals after which a report expires.
constexpr int report_lifetime_intervals = 3;
/// Interval at which changes of ownership are detected when no other event occurs.
constexpr duration assignment_check_interval = std::chrono::milliseconds{250};

/// SQLSTATE class 53 (insufficient resources) indicates load and not a failure of the target.
bool is_capacity_refusal(const control_result& result) {
    if (const control_unreachable* unreachable = std::get_if<control_unreachable>(&result)) {
        return unreachable->capacity;
    }
    const control_error* error = std::get_if<control_error>(&result);
    return error != nullptr && error->sqlstate.starts_with("53");
}

count_metric count_poll(const target_id& target, const char* result) {
    return count_metric{"status_calls", {{"target", target.value}, {"result", result}}};
}

log_event describe(const char* name, const group_id& group, const target_id& primary,
                   term_number term) {
    return log_event{
        log_event::level::warning,
        name,
        {{"group", group.value}, {"primary", primary.value}, {"term", std::to_string(term)}}};
}

} // namespace internal

primary_monitor::primary_monitor(const core_settings& settings, cluster_view& view, id_source& ids)
    : settings_{settings}, view_{view}, ids_{ids} {}

bool primary_monitor::on_control_finished(time_point now, const control_finished& finished,
                                          action_list& actions) {
    const auto call = calls_.find(finished.call);
    if (call == calls_.end()) {
        return false;
    }
    const target_id target = call->second;
    calls_.erase(call);
    const auto polled = polls_.find(target);
    if (polled == polls_.end()) {
        return true;
    }
    const auto issued = polled->second.issued.find(finished.call);
    if (issued == polled->second.issued.end()) {
        return true;
    }
    const time_point issued_at = issued->second;
    polled->second.issued.erase(issued);
    record_result(now, issued_at, finished, actions);
    return true;
}

void primary_monitor::on_report(time_point now, const host_id& from, const primary_report& report,
                                action_list& actions) {
    reports_[report.group][from] = received_report{report, now};
    const auto found = groups_.find(report.group);
    if (found != groups_.end()) {
        check_suspicion(now, found->first, found->second, actions);
    }
}

void primary_monitor::on_timer(time_point now, action_list& actions) {
    if (has_assignments_ && now > next_check_ + settings_.status_interval) {
        compensate_for_pause(now - next_check_);
    }
    update_assignments(now);
    issue_polls(now, actions);
    for (auto& [id, group] : groups_) {
        check_group(now, id, group, actions);
    }
    next_check_ = now + internal::assignment_check_interval;
}

std::vector<group_id> primary_monitor::take_suspected() {
    std::vector<group_id> result{suspected_.begin(), suspected_.end()};
    suspected_.clear();
    return result;
}

bool primary_monitor::is_suspected(const group_id& group) const {
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.is_suspected;
}

time_point primary_monitor::next_wakeup() const {
    time_point wakeup = next_check_;
    for (const auto& [target, polled] : polls_) {
        wakeup = std::min(wakeup, polled.due);
    }
    for (const auto& [id, group] : groups_) {
        wakeup = std::min(wakeup, group.report_due);
        if (group.is_reachable) {
            wakeup = std::min(wakeup, group.last_healthy_at + settings_.primary_suspicion);
        }
        if (group.is_suspected) {
            wakeup = std::min(wakeup, group.suspicion_due);
        }
    }
    return wakeup;
}

void primary_monitor::update_assignments(time_point now) {
    if (has_assignments_ && assigned_generation_ == view_.generation()) {
        return;
    }
    has_assignments_ = true;
    assigned_generation_ = view_.generation();
    const host_id& self = view_.self().id;
    std::map<target_id, poll> polls;
    std::map<group_id, observed_group> groups;
    const auto add_poll = [&](const target_id& target) {
        const auto held = polls_.find(target);
        polls.emplace(target, held == polls_.end() ? poll{now, {}} : held->second);
    };
    for (const auto& [id, record] : view_.groups()) {
        for (const target_record& target : record.targets) {
            if (view_.owner_of(target.id) == self) {
                add_poll(target.id);
            }
        }
        const target_record* primary = view_.primary_of(id);
        const std::vector<host_id> observers =
            view_.observers_of(id, settings_.observers_per_group);
        if (primary == nullptr ||
            std::find(observers.begin(), observers.end(), self) == observers.end()) {
            continue;
        }
        add_poll(primary->id);
        const term_number term = view_.find_term(id)->term;
        const auto held = groups_.find(id);
        if (held != groups_.end() && held->second.primary == primary->id &&
            held->second.term == term) {
            groups.emplace(id, held->second);
        } else {
            groups.emplace(id, observed_group{primary->id, term, now, true, false, now, now});
        }
    }
    polls_ = std::move(polls);
    groups_ = std::move(groups);
}

void primary_monitor::compensate_for_pause(duration pause) {
    // Replies that arrived while this process was paused have not been processed yet.
    for (auto& [id, group] : groups_) {
        group.last_healthy_at += pause;
    }
}

void primary_monitor::issue_polls(time_point now, action_list& actions) {
    for (auto& [id, polled] : polls_) {
        const target_record* target = view_.find_target(id);
        if (polled.due > now || target == nullptr) {
            continue;
        }
        polled.due = now + settings_.status_interval;
        if (polled.issued.size() >= internal::max_outstanding_polls) {
            continue;
        }
        const call_id call = ids_.next();
        polled.issued.emplace(call, now);
        calls_.emplace(call, id);
        // A reply after status_timeout is slow but still shows that the target works, so the call
        // waits until the primary would become suspected.
        const duration timeout = std::max(settings_.status_timeout, settings_.primary_suspicion);
        actions.emplace_back(call_control{call, *target, status_call{}, timeout});
    }
}

void primary_monitor::record_result(time_point now, time_point issued_at,
                                    const control_finished& finished, action_list& actions) {
    const target_id& target = finished.target;
    if (internal::is_capacity_refusal(finished.result)) {
        actions.emplace_back(internal::count_poll(target, "capacity"));
    } else if (const status_reply* reply = std::get_if<status_reply>(&finished.result)) {
        observe_reply(issued_at, target, *reply);
        if (now - issued_at > settings_.status_timeout) {
            actions.emplace_back(internal::count_poll(target, "slow"));
        }
    } else {
        observe_unreachable(now, target);
        actions.emplace_back(internal::count_poll(target, "unreachable"));
    }
    const group_record* record = view_.group_of(target);
    const auto group = record == nullptr ? groups_.end() : groups_.find(record->id);
    if (group != groups_.end() && group->second.primary == target &&
        shows_healthy_primary(finished.result, group->second.term)) {
        group->second.last_healthy_at = now;
        check_group(now, group->first, group->second, actions);
    }
}

void primary_monitor::observe_reply(time_point issued_at, const target_id& target,
                                    const status_reply& reply) {
    const observed_target* held = view_.find_observation(target);
    if (held != nullptr && held->observation.reachable && held->sampled_at > issued_at) {
        return;
    }
    target_observation observation;
    observation.target = target;
    observation.term = reply.last_term;
    observation.position = reply.position;
    observation.age = reply.age;
    observation.is_primary = reply.is_primary;
    observation.queue_wait = held == nullptr ? duration{0} : held->observation.queue_wait;
    // The target measured the age after the call was issued. Counting the age from the time of
    // issue therefore never makes the data appear more recent than it is.
    view_.observe(issued_at, observation);
}

void primary_monitor::observe_unreachable(time_point now, const target_id& target) {
    target_observation observation;
    observation.target = target;
    if (const observed_target* held = view_.find_observation(target)) {
        const duration elapsed = std::max(duration{0}, now - held->sampled_at);
        observation = held->observation;
        observation.age += std::chrono::ceil<std::chrono::milliseconds>(elapsed);
    }
    observation.reachable = false;
    view_.observe(now, observation);
}

bool primary_monitor::shows_healthy_primary(const control_result& result, term_number term) const {
    if (internal::is_capacity_refusal(result)) {
        return true;
    }
    // A target that has lost the primary role or promised a later term accepts no writes of this
    // term.
    const status_reply* reply = std::get_if<status_reply>(&result);
    return reply != nullptr && reply->is_primary && reply->promised_term <= term;
}

void primary_monitor::check_group(time_point now, const group_id& id, observed_group& group,
                                  action_list& actions) {
    const bool is_reachable = now - group.last_healthy_at < settings_.primary_suspicion;
    const bool is_change = is_reachable != group.is_reachable;
    group.is_reachable = is_reachable;
    if (is_change || now >= group.report_due) {
        send_reports(now, id, group, actions);
    }
    check_suspicion(now, id, group, actions);
}

void primary_monitor::check_suspicion(time_point now, const group_id& id, observed_group& group,
                                      action_list& actions) {
    std::size_t needed = 0;
    const std::size_t unreachable = count_unreachable(now, id, group, needed);
    const bool was_suspected = group.is_suspected;
    group.is_suspected = unreachable >= needed;
    if (group.is_suspected && (!was_suspected || now >= group.suspicion_due)) {
        group.suspicion_due = now + settings_.report_interval;
        suspected_.insert(id);
    }
    if (group.is_suspected == was_suspected) {
        return;
    }
    if (!group.is_suspected) {
        suspected_.erase(id);
    }
    const char* name = group.is_suspected ? "primary_suspected" : "primary_recovered";
    actions.emplace_back(internal::describe(name, id, group.primary, group.term));
}

std::size_t primary_monitor::count_unreachable(time_point now, const group_id& id,
                                               const observed_group& group,
                                               std::size_t& needed) const {
    const std::vector<host_id> observers = view_.observers_of(id, settings_.observers_per_group);
    // A fleet with fewer hosts than reports_to_suspect must still be able to promote a target.
    needed = std::clamp<std::size_t>(observers.size(), 1, settings_.reports_to_suspect);
    std::size_t unreachable = group.is_reachable ? 0 : 1;
    const auto reports = reports_.find(id);
    if (reports == reports_.end()) {
        return unreachable;
    }
    for (const auto& [host, received] : reports->second) {
        const bool is_valid =
            received.received_at + internal::report_lifetime_intervals * settings_.report_interval >
                now &&
            received.report.primary == group.primary && received.report.term == group.term;
        const bool is_observer =
            std::find(observers.begin(), observers.end(), host) != observers.end();
        if (is_valid && is_observer && host != view_.self().id && !received.report.reachable) {
            ++unreachable;
        }
    }
    return unreachable;
}

void primary_monitor::send_reports(time_point now, const group_id& id, observed_group& group,
                                   action_list& actions) {
    group.report_due = now + settings_.report_interval;
    primary_report report{id, group.primary, group.term, group.is_reachable, duration{0}};
    if (!group.is_reachable) {
        report.unreachable_for = now - group.last_healthy_at;
    }
    for (const host_id& observer : view_.observers_of(id, settings_.observers_per_group)) {
        const std::string address = view_.peer_address(observer);
        if (observer != view_.self().id && !address.empty()) {
            actions.emplace_back(send_to_peer{observer, address, report});
        }
    }
}

} // namespace lovagemoor::core
