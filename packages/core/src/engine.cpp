#include <lovagemoor/core/engine.hpp>

#include <lovagemoor/core/overloaded.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace lovagemoor::core {

namespace internal {

/// Number of ping intervals for which a leaving host keeps running after its last request, so that
/// the other hosts learn that it owns no targets before its socket closes.
constexpr int handover_intervals = 4;

/// Moves messages that this host addresses to itself from the actions to the event queue.
void take_loopback(const host_id& self, action_list& actions, std::deque<event>& pending) {
    const auto is_loopback = [&self](const action& value) {
        const send_to_peer* message = std::get_if<send_to_peer>(&value);
        return message != nullptr && message->to == self;
    };
    for (action& value : actions) {
        if (is_loopback(value)) {
            pending.emplace_back(
                peer_received{self, std::move(std::get<send_to_peer>(value).message)});
        }
    }
    std::erase_if(actions, is_loopback);
}

} // namespace internal

engine::engine(const core_settings& settings, engine_identity identity)
    : settings_{settings},
      identity_{std::move(identity)},
      random_{identity_.random_seed},
      view_{identity_.self, identity_.incarnation},
      acknowledger_{settings_, view_, ids_},
      membership_{settings_, view_, random_},
      view_sync_{settings_, view_, ids_, random_},
      monitor_{settings_, view_, ids_},
      promoter_{settings_, view_, ids_,
                [this](const group_id& group) { return monitor_.is_suspected(group); }},
      changer_{settings_, view_, ids_},
      owner_{settings_, view_, acknowledger_, ids_},
      entry_{settings_, view_, ids_, token_sealer{identity_.session_key},
             [this](time_point now, const target_observation& observation) {
                 view_.observe(now, observation);
             }} {}

action_list engine::start(time_point now) {
    action_list actions;
    view_sync_.start(now, actions);
    membership_.join(now, identity_.seeds, actions);
    propagate_results(now, actions);
    return actions;
}

action_list engine::handle(time_point now, const event& value) {
    action_list actions;
    std::deque<event> pending;
    dispatch(now, value, actions);
    propagate_results(now, actions);
    internal::take_loopback(identity_.self.id, actions, pending);
    while (!pending.empty()) {
        const event next = std::move(pending.front());
        pending.pop_front();
        action_list produced;
        dispatch(now, next, produced);
        propagate_results(now, produced);
        internal::take_loopback(identity_.self.id, produced, pending);
        std::move(produced.begin(), produced.end(), std::back_inserter(actions));
    }
    return actions;
}

time_point engine::next_wakeup() const {
    time_point wakeup =
        std::min({acknowledger_.next_wakeup(), membership_.next_wakeup(), view_sync_.next_wakeup(),
                  monitor_.next_wakeup(), promoter_.next_wakeup(), changer_.next_wakeup(),
                  owner_.next_wakeup(), entry_.next_wakeup()});
    if (drain_started_.has_value()) {
        wakeup = std::min(wakeup, next_drain_check_);
    }
    return wakeup;
}

void engine::dispatch(time_point now, const event& value, action_list& actions) {
    const overloaded handlers{
        [&](const caller_called& called) { entry_.on_caller(now, called, actions); },
        [&](const caller_cancelled& cancelled) { entry_.on_cancelled(now, cancelled, actions); },
        [&](const peer_received& received) { handle_peer(now, received, actions); },
        [&](const connection_opened& opened) { owner_.on_connection_opened(now, opened, actions); },
        [&](const connection_closed& closed) { owner_.on_connection_closed(now, closed, actions); },
        [&](const job_rows& rows) { owner_.on_job_rows(now, rows, actions); },
        [&](const job_finished& finished) { owner_.on_job_finished(now, finished, actions); },
        [&](const control_finished& finished) { handle_control(now, finished, actions); },
        [&](const platform_finished& finished) { handle_platform(now, finished, actions); },
        [&](const platform_changed& changed) {
            view_sync_.on_platform_changed(now, changed, actions);
        },
        [&](const platform_watch_lost&) { view_sync_.on_watch_lost(now, actions); },
        [&](const operator_called& called) { handle_operator(now, called, actions); },
        [&](const timer_expired&) { handle_timer(now, actions); },
        [&](const drain_requested&) { begin_drain(now, actions); }};
    std::visit(handlers, value);
}

void engine::handle_peer(time_point now, const peer_received& received, action_list& actions) {
    const host_id& from = received.from;
    const overloaded handlers{
        [&](const forward_request& request) { owner_.submit(now, from, request, actions); },
        [&](const forward_rows& rows) { entry_.on_rows(now, from, rows, actions); },
        [&](const forward_outcome& result) { entry_.on_outcome(now, from, result, actions); },
        [&](const forward_cancel& cancel) { owner_.cancel(now, from, cancel.id, actions); },
        [&](const membership_ping& message) {
            membership_.on_ping(now, from, message, actions);
            view_sync_.on_gossip(now, from, message.gossip, actions);
        },
        [&](const membership_ack& message) {
            membership_.on_ack(now, from, message, actions);
            view_sync_.on_gossip(now, from, message.gossip, actions);
        },
        [&](const membership_ping_request& message) {
            membership_.on_ping_request(now, from, message, actions);
            view_sync_.on_gossip(now, from, message.gossip, actions);
        },
        [&](const membership_sync& message) {
            membership_.on_sync(now, from, message, actions);
            view_sync_.on_gossip(now, from, message.gossip, actions);
        },
        [&](const view_push& message) { view_sync_.on_push(now, from, message, actions); },
        [&](const view_request& message) { view_sync_.on_request(now, from, message, actions); },
        [&](const view_reply& message) { view_sync_.on_reply(now, from, message, actions); },
        [&](const primary_report& report) { monitor_.on_report(now, from, report, actions); }};
    std::visit(handlers, received.message);
}

void engine::handle_operator(time_point now, const operator_called& called, action_list& actions) {
    const auto answer = [&](operator_result result) {
        actions.emplace_back(answer_operator{called.id, std::move(result)});
    };
    const overloaded handlers{
        [&](const change_configuration& change) {
            changer_.submit(now, called.id, change, actions);
        },
        [&](const get_configuration&) { answer(view_.current_configuration()); },
        [&](const get_status&) { answer(status()); },
        [&](const drain_host& drain) {
            const bool accepted = drain.host == identity_.self.id;
            if (accepted) {
                begin_drain(now, actions);
            }
            answer(drain_result{accepted, static_cast<std::uint32_t>(in_progress())});
        },
        [&](const promote_group& promote) {
            answer(promoter_.request(now, promote.group, actions));
        },
        [&](const get_burn&) {
            answer(burn_result{identity_.self.id, entry_.burn(now)});
        }};
    std::visit(handlers, called.call);
}

void engine::handle_control(time_point now, const control_finished& finished,
                            action_list& actions) {
    if (acknowledger_.on_control_finished(now, finished, actions)) {
        return;
    }
    if (monitor_.on_control_finished(now, finished, actions)) {
        return;
    }
    promoter_.on_control_finished(now, finished, actions);
}

void engine::handle_platform(time_point now, const platform_finished& finished,
                             action_list& actions) {
    if (view_sync_.on_platform_finished(now, finished, actions)) {
        return;
    }
    if (promoter_.on_platform_finished(now, finished, actions)) {
        return;
    }
    changer_.on_platform_finished(now, finished, actions);
}

void engine::handle_timer(time_point now, action_list& actions) {
    membership_.on_timer(now, actions);
    view_sync_.on_timer(now, actions);
    monitor_.on_timer(now, actions);
    promoter_.on_timer(now, actions);
    changer_.on_timer(now, actions);
    acknowledger_.on_timer(now, actions);
    owner_.on_timer(now, actions);
    entry_.on_timer(now, actions);
    check_drain(now, actions);
}

void engine::propagate_results(time_point now, action_list& actions) {
    for (const host_id& lost : membership_.take_lost_hosts()) {
        owner_.on_host_lost(now, lost, actions);
        entry_.on_host_lost(now, lost, actions);
    }
    for (const group_id& group : monitor_.take_suspected()) {
        promoter_.suspect(now, group, actions);
    }
    view_sync_.publish(now, promoter_.take_new_records(), actions);
    view_sync_.publish(now, changer_.take_new_records(), actions);
    if (view_.generation() != handled_generation_) {
        handled_generation_ = view_.generation();
        drain_if_listed_as_leaving(now, actions);
        owner_.on_view_changed(now, actions);
        entry_.on_view_changed(now, actions);
    }
    for (const acknowledgement& result : acknowledger_.take_finished()) {
        owner_.on_acknowledged(now, result, actions);
    }
}

void engine::drain_if_listed_as_leaving(time_point now, action_list& actions) {
    const auto listed = view_.listed_hosts().find(identity_.self.id);
    if (listed == view_.listed_hosts().end()) {
        return;
    }
    // The record of an earlier process with this host identifier may still be marked as leaving.
    const bool is_own = listed->second.peer_address == identity_.self.peer_address;
    was_listed_as_live_ = was_listed_as_live_ || (is_own && !listed->second.leaving);
    if (was_listed_as_live_ && listed->second.leaving) {
        begin_drain(now, actions);
    }
}

void engine::begin_drain(time_point now, action_list& actions) {
    if (drain_started_.has_value()) {
        return;
    }
    drain_started_ = now;
    idle_since_.reset();
    actions.emplace_back(log_event{
        log_event::level::info, "drain_started", {{"in_progress", std::to_string(in_progress())}}});
    view_.set_leaving();
    membership_.leave(now, actions);
    view_sync_.register_leaving(now, actions);
    owner_.drain(now, actions);
    entry_.drain(now, actions);
    next_drain_check_ = now + settings_.ping_interval;
}

void engine::check_drain(time_point now, action_list& actions) {
    if (!drain_started_.has_value() || stopped_ || now < next_drain_check_) {
        return;
    }
    next_drain_check_ = now + settings_.ping_interval;
    if (in_progress() > 0) {
        idle_since_.reset();
    } else if (!idle_since_.has_value()) {
        idle_since_ = now;
    }
    const bool handed_over =
        idle_since_.has_value() &&
        now - *idle_since_ >= internal::handover_intervals * settings_.ping_interval;
    const bool timed_out = now - *drain_started_ >= settings_.drain_timeout;
    if (handed_over || timed_out) {
        stopped_ = true;
        actions.emplace_back(
            log_event{handed_over ? log_event::level::info : log_event::level::warning,
                      "drain_finished",
                      {{"in_progress", std::to_string(in_progress())}}});
        actions.emplace_back(stop_process{});
    }
}

std::size_t engine::in_progress() const {
    return entry_.in_progress() + owner_.in_progress();
}

status_result engine::status() const {
    status_result result;
    result.host = identity_.self.id;
    result.configuration_version = view_.current_configuration().version;
    result.draining = drain_started_.has_value();
    result.members.push_back(
        member_update{view_.self(), view_.incarnation(),
                      view_.self().leaving ? member_state::leaving : member_state::alive,
                      view_.current_configuration().version});
    for (const auto& [id, member] : view_.members()) {
        result.members.push_back(member);
    }
    std::map<target_id, target_load> loads;
    for (target_load& load : owner_.loads()) {
        loads[load.target] = load;
    }
    for (const auto& [id, group] : view_.groups()) {
        for (const target_record& target : group.targets) {
            result.targets.push_back(status_of(group, target, loads[target.id]));
        }
    }
    return result;
}

target_status engine::status_of(const group_record& group, const target_record& target,
                                const target_load& load) const {
    target_status status;
    status.target = target.id;
    status.group = group.id;
    status.owner = view_.owner_of(target.id).value_or(host_id{});
    status.leaving = target.leaving;
    const target_record* primary = view_.primary_of(group.id);
    status.primary = primary != nullptr && primary->id == target.id;
    const observed_target* observed = view_.find_observation(target.id);
    if (observed != nullptr) {
        status.reachable = observed->observation.reachable;
        status.term = observed->observation.term;
        status.position = observed->observation.position;
        status.age = observed->observation.age;
    }
    status.queued = load.queued;
    status.running = load.running;
    status.connections = load.connections;
    return status;
}

} // namespace lovagemoor::core
