#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <lovagemoor/core/overloaded.hpp>
#include <lovagemoor/core/placement.hpp>
#include <lovagemoor/proxy/promotion/observers.hpp>
#include <lovagemoor/proxy/promotion/suspicion_quorum.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

bool session_engine::is_failing(const service_state& state) const {
    const auto for_long = [this](const std::optional<core::time_point>& since) {
        return since.has_value() && now_ - *since >= settings_.suspicion_delay;
    };
    return for_long(state.failing_since) || for_long(state.missing_since);
}

bool session_engine::reaches_replica(const core::service_id& id, const service_state& state) {
    bool reaches = false;
    for (target_state* const target : pool_.of_service(id)) {
        if (state.view.primary() == target->record.id) {
            continue;
        }
        if (!target->idle.empty() || target->in_use > 0) {
            reaches = true;
        } else if (target->opening == 0) {
            open_connection(*target);
        }
    }
    return reaches;
}

void session_engine::update_observers(const core::service_id& id, service_state& state) {
    if (state.observers_version == hosts_version_) {
        return;
    }
    std::vector<core::host_id> live;
    for (const auto& [host, known] : hosts_) {
        if (!known.removed_at.has_value()) {
            live.push_back(host);
        }
    }
    state.observers = choose_observers(id, live);
    state.observers_version = hosts_version_;
}

void session_engine::update_suspicion(const core::service_id& id, service_state& state) {
    if (!is_failing(state)) {
        if (std::exchange(state.suspicion_published, false)) {
            log(core::log_event::level::info, "suspicion_withdrawn", {{"service", id.value}});
            withdraw_report(id, state);
            state.reporters.erase(settings_.host);
        }
        return;
    }
    update_observers(id, state);
    const bool observes = state.observers.contains(settings_.host);
    const bool published = state.suspicion_published && !state.report_may_be_lost;
    if (!observes || published || now_ < state.publish_after || !reaches_replica(id, state)) {
        return;
    }
    state.suspicion_published = true;
    state.report_may_be_lost = false;
    const core::target_id primary = state.view.primary().value_or(core::target_id{});
    state.reporters[settings_.host] = primary;
    log(core::log_event::level::warning, "primary_suspected",
        {{"service", id.value},
         {"target", primary.value},
         {"silent_ms", std::to_string((now_ - state.primary_contact).count() / 1000)}});
    out_.emplace_back(publish_suspicion{suspicion_report{id, primary, settings_.host}});
}

void session_engine::repeat_withdrawal(const core::service_id& id, service_state& state) {
    if (state.suspicion_published || is_failing(state) || !state.withdraw_at.has_value() ||
        now_ < *state.withdraw_at) {
        return;
    }
    state.withdraw_at.reset();
    withdraw_report(id, state);
}

void session_engine::withdraw_report(const core::service_id& id, service_state& state) {
    state.withdrawn_at = now_;
    state.report_may_be_lost = false;
    out_.emplace_back(withdraw_suspicion{id});
}

bool session_engine::concerns_primary(const service_state& state,
                                      const core::target_id& suspected) const {
    const std::optional<core::target_id>& primary = state.view.primary();
    if (registry_incomplete(now_) && !is_failing(state)) {
        // The report may have been withdrawn since the copy was taken, also if the same target
        // leads again. Its reporter withdraws it once more.
        return false;
    }
    // Reports about a former primary, or from the time without one, are only withdrawn after the
    // new one has confirmed its role.
    return !primary.has_value() || *primary == suspected ||
           (suspected.value.empty() && is_failing(state));
}

bool session_engine::suspicion_confirmed(const service_state& state) const {
    suspicion_count count;
    std::set<core::domain_id> domains;
    std::set<core::domain_id> reporting;
    for (const auto& [id, host] : hosts_) {
        if (host.removed_at.has_value() || !state.observers.contains(id)) {
            continue;
        }
        ++count.hosts;
        domains.insert(host.domain);
        const auto report = state.reporters.find(id);
        if (report != state.reporters.end() && concerns_primary(state, report->second)) {
            ++count.reporters;
            reporting.insert(host.domain);
        }
    }
    count.domains = domains.size();
    count.reporting_domains = reporting.size();
    return confirms_loss(count);
}

bool session_engine::may_promote_now(const core::service_id& id, const service_state& state,
                                     core::time_point needed_since) const {
    // Each observer starts after a delay that grows with its rank. The ranks differ by service, so
    // observers rarely compete for the lock.
    std::vector<core::host_id> order;
    for (const core::host_id& host : state.observers) {
        if (state.reporters.empty() || state.reporters.contains(host)) {
            order.push_back(host);
        }
    }
    order = core::rank_hosts(id.value, std::move(order));
    const auto own = std::find(order.begin(), order.end(), settings_.host);
    return own != order.end() && now_ - needed_since >= settings_.promotion_rank_delay *
                                                            std::distance(order.begin(), own);
}

failover_input session_engine::failover_input_of(const core::service_id& id, service_state& state) {
    failover_input input;
    input.service = id;
    input.primary = state.view.primary();
    input.term = state.view.term();
    input.synchronous_replicas = synchronous_replicas_of(id);
    for (const target_state* const target : pool_.of_service(id)) {
        const bool listed = !target->removed_at.has_value();
        // A former primary acknowledges nothing after its demotion that its replicas lack. Once
        // another one leads in a later term, it may have followed that one.
        const std::optional<core::term_number> demotion =
            state.view.demotion_term(target->record.id);
        const bool is_behind = demotion.has_value() && state.view.term() < *demotion;
        const bool may_be_ahead = may_hold_commits(*target) && !is_behind;
        if (target->record.id != input.primary && (listed || may_be_ahead)) {
            input.replicas.push_back({target->record.id, target->record.draining, listed,
                                      target->record.draining && now_ - target->draining_since >=
                                                                     draining_primary_use_time()});
        }
    }
    input.cause = cause_of(id, state);
    if (const target_state* const draining = draining_primary(state)) {
        input.replace_by = draining->draining_since + draining_primary_use_time();
    }
    if (const std::optional<primary_checks::check> newest = state.checks.newest_check()) {
        input.newest_check = dated_position{newest->sent, newest->position};
    }
    return input;
}

promotion_cause session_engine::cause_of(const core::service_id& id, service_state& state) {
    // The promotion lock covers all services. Its holder therefore also replaces primaries whose
    // loss it only knows from the reports of other hosts.
    const bool holds_promotion_lock = failover_coordinator_.holds_promotion_lock(now_);
    if (!state.reporters.empty() && (holds_promotion_lock || state.suspicion_published)) {
        update_observers(id, state);
        const core::time_point since =
            state.failing_since.value_or(state.missing_since.value_or(now_));
        if (suspicion_confirmed(state) &&
            (holds_promotion_lock ||
             may_promote_now(id, state, since + settings_.suspicion_delay))) {
            return promotion_cause::primary_lost;
        }
    }
    const target_state* const draining = draining_primary(state);
    if (draining == nullptr) {
        return promotion_cause::none;
    }
    update_observers(id, state);
    return holds_promotion_lock || may_promote_now(id, state, draining->draining_since)
               ? promotion_cause::primary_draining
               : promotion_cause::none;
}

const target_state* session_engine::draining_primary(const service_state& state) {
    const target_state* const primary = primary_of(state);
    return primary != nullptr && primary->record.draining ? primary : nullptr;
}

void session_engine::update_promotion_following() {
    bool involved = failover_coordinator_.requests_or_holds_promotion_lock(now_);
    for (const auto& [id, state] : services_) {
        involved = involved || state.suspicion_published ||
                   (draining_primary(state) != nullptr && state.observers.contains(settings_.host));
    }
    if (involved) {
        last_promotion_involvement_ = now_;
    }
    const bool follows = last_promotion_involvement_.has_value() &&
                         now_ - *last_promotion_involvement_ <= settings_.promotion_follow_time;
    if (follows != follows_promotions_) {
        follows_promotions_ = follows;
        out_.emplace_back(follow_promotions{follows});
        if (!follows) {
            // Reports are no longer watched, so this host would not notice their withdrawal.
            clear_reports();
        }
    }
}

void session_engine::advance_failovers() {
    if (stopping_since_.has_value()) {
        return;
    }
    std::vector<failover_input> inputs;
    for (auto& [id, state] : services_) {
        inputs.push_back(failover_input_of(id, state));
    }
    for (const failover_step& step : failover_coordinator_.advance(now_, inputs)) {
        std::visit(
            core::overloaded{
                [this](const request_promotion_lock& request) {
                    log(core::log_event::level::info, "duty_requested", {});
                    out_.emplace_back(acquire_promotion_lock{request.duration});
                },
                [this](const inspect_replicas& request) {
                    for (const core::target_id& replica : request.awaited) {
                        log(core::log_event::level::warning, "failover_waits_for_replica",
                            {{"service", request.service.value}, {"target", replica.value}});
                    }
                    const command_kind kind = request.hold_term > 0 ? command_kind::hold_replication
                                                                    : command_kind::status;
                    const std::optional<core::target_id>& primary =
                        services_[request.service].view.primary();
                    for (const target_state* const target : pool_.of_service(request.service)) {
                        if (target->record.id != primary || target->record.id == request.demoted) {
                            inspect_target(target->record.id, kind, request.hold_term);
                        }
                    }
                    send_pending_inspections();
                },
                [this](const release_replicas& request) {
                    log(core::log_event::level::warning, "replication_released",
                        {{"service", request.service.value}});
                    for (const target_state* const target : pool_.of_service(request.service)) {
                        const core::target_id& id = target->record.id;
                        std::erase_if(pending_inspections_,
                                      [&id](const pending_inspection& pending) {
                                          return pending.target == id &&
                                                 pending.kind == command_kind::hold_replication;
                                      });
                        inspect_target(id, command_kind::resume_replication, 0);
                    }
                    send_pending_inspections();
                },
                [this](const demote_primary& request) {
                    inspect_target(request.demotion.target, command_kind::step_down,
                                   request.demotion.term);
                    send_pending_inspections();
                },
                [this](const announce_demotion& request) {
                    log(core::log_event::level::warning, "demotion_announced",
                        {{"service", request.demotion.service.value},
                         {"target", request.demotion.target.value},
                         {"term", std::to_string(request.demotion.term)}});
                    out_.emplace_back(publish_demotion{request.demotion, request.fencing_token});
                },
                [this](const call_promotion& request) {
                    record_promotion_call(request);
                    out_.emplace_back(
                        promote_target{request.service, request.target, request.fencing_token});
                },
            },
            step);
    }
    update_promotion_following();
}

void session_engine::record_promotion_call(const call_promotion& call) {
    std::string candidates;
    for (const auto& [target, position] : call.positions) {
        candidates += (candidates.empty() ? "" : ",") + target.value + ':' + to_string(position);
    }
    const core::log_position left_behind = call.commits_left_behind();
    log(core::log_event::level::warning, "promotion_called",
        {{"service", call.service.value},
         {"target", call.target.value},
         {"fencing_token", std::to_string(call.fencing_token.value())},
         {"candidates", candidates},
         {"former_position",
          call.former_position.has_value() ? to_string(*call.former_position) : "none"},
         {"left_behind", std::to_string(left_behind)}});
    if (!call.repeated && left_behind > 0) {
        out_.emplace_back(core::count_metric{"lovagemoor_commits_left_behind_total",
                                             {{"service", call.service.value}},
                                             static_cast<double>(left_behind)});
    }
}

void session_engine::inspect_target(const core::target_id& target, command_kind kind,
                                    core::term_number term) {
    const bool pending = std::any_of(pending_inspections_.begin(), pending_inspections_.end(),
                                     [&](const pending_inspection& inspection) {
                                         return inspection.target == target &&
                                                inspection.kind == kind && inspection.term == term;
                                     });
    if (!pending) {
        pending_inspections_.push_back({target, kind, term, now_ + settings_.connect_timeout});
    }
}

void session_engine::demote_former_primaries(const core::service_id& service,
                                             const core::target_id& primary) {
    service_state& state = services_[service];
    update_observers(service, state);
    if (!state.observers.contains(settings_.host)) {
        return;
    }
    for (const target_state* const target : pool_.of_service(service)) {
        if (target->record.claims_primary && target->record.id != primary &&
            !target->removed_at.has_value()) {
            // Positions carry the term of the last commit, so a former primary may show the same
            // one. A target that leads a later term ignores the command.
            inspect_target(target->record.id, command_kind::step_down, state.view.term() + 1);
        }
    }
    send_pending_inspections();
}

void session_engine::on(const demotion_announced& input) {
    apply_demotion(input.demotion);
}

void session_engine::on(const demotions_listed& input) {
    for (const primary_demotion& demotion : input.demotions) {
        apply_demotion(demotion);
    }
    find_lost_demotions(input.demotions);
    const core::time_point requested = demotions_requested_at_.value_or(now_);
    // A host that has just started knows nothing better than the copy.
    const bool is_first = demotions_known_at_ == core::time_point{};
    if (is_first || !registry_incomplete(requested)) {
        demotions_known_at_ = requested;
    }
    dispatch_all_waiting();
}

void session_engine::on(const registry_contacted& input) {
    registry_contacted_at_ = std::max(registry_contacted_at_, input.sent);
}

void session_engine::on(const registry_restored& input) {
    log(core::log_event::level::warning, "registry_restored",
        {{"previous_era", std::to_string(input.previous)}, {"era", std::to_string(input.current)}});
    count("lovagemoor_registry_era_changes_total", {});
    failover_coordinator_.on_registry_restored();
    copied_entries_.on_restored();
    registry_restored_at_ = now_;
    demotions_may_be_lost_ = true;
    for (auto& [id, state] : services_) {
        state.restore_demotion_at.reset();
        state.report_may_be_lost = state.suspicion_published;
        if (!state.suspicion_published && state.withdrawn_at.has_value() &&
            now_ - *state.withdrawn_at < settings_.withdrawn_report_retention) {
            // The copy may have the report.
            state.withdraw_at = now_;
        }
    }
}

bool session_engine::registry_incomplete(core::time_point at) const {
    return registry_restored_at_.has_value() &&
           at - *registry_restored_at_ < settings_.registry_restore_time;
}

void session_engine::find_lost_demotions(const std::vector<primary_demotion>& listed) {
    if (!std::exchange(demotions_may_be_lost_, false)) {
        return;
    }
    for (auto& [id, state] : services_) {
        update_observers(id, state);
        if (!state.demotion.has_value() || !state.observers.contains(settings_.host)) {
            continue;
        }
        const auto found = std::find_if(
            listed.begin(), listed.end(),
            [&service = id](const primary_demotion& entry) { return entry.service == service; });
        if (found != listed.end() && found->term >= state.demotion->term) {
            continue;
        }
        state.listed_demotion_revision = found == listed.end() ? 0 : found->revision;
        // The first observer writes; the others see its announcement before it is their turn.
        const std::vector<core::host_id> order =
            core::rank_hosts(id.value, {state.observers.begin(), state.observers.end()});
        const auto own = std::find(order.begin(), order.end(), settings_.host);
        state.restore_demotion_at =
            now_ + settings_.promotion_rank_delay * std::distance(order.begin(), own);
    }
}

void session_engine::restore_lost_demotion(const core::service_id& id, service_state& state) {
    if (!state.restore_demotion_at.has_value() || now_ < *state.restore_demotion_at) {
        return;
    }
    state.restore_demotion_at.reset();
    log(core::log_event::level::warning, "demotion_restored",
        {{"service", id.value},
         {"target", state.demotion->target.value},
         {"term", std::to_string(state.demotion->term)}});
    out_.emplace_back(restore_demotion{*state.demotion, state.listed_demotion_revision});
}

void session_engine::on(const demotion_restore_answered& input) {
    if (input.restored) {
        return;
    }
    // Another host may have announced it, or the answer was lost: the next list tells.
    log(core::log_event::level::warning, "demotion_not_restored",
        {{"service", input.service.value}});
    demotions_may_be_lost_ = true;
    demotions_list_due_ = true;
}

void session_engine::apply_demotion(const primary_demotion& demotion) {
    service_state& state = services_[demotion.service];
    if (!state.demotion.has_value() || demotion.term >= state.demotion->term) {
        state.demotion = demotion;
        state.restore_demotion_at.reset();
    }
    if (state.view.superseded(demotion.target, demotion.term - 1) &&
        state.view.primary() != demotion.target) {
        return;
    }
    const bool was_primary = state.view.on_demoted(demotion.target, demotion.term);
    log(core::log_event::level::info, "demotion_received",
        {{"service", demotion.service.value},
         {"target", demotion.target.value},
         {"term", std::to_string(demotion.term)},
         {"was_primary", was_primary ? "true" : "false"}});
    update_observers(demotion.service, state);
    if (state.observers.contains(settings_.host)) {
        inspect_target(demotion.target, command_kind::step_down, demotion.term);
        send_pending_inspections();
    }
    dispatch_waiting(demotion.service);
}

void session_engine::on(const demotion_publish_answered& input) {
    failover_coordinator_.on_demotion_published(now_, input);
    if (input.published) {
        apply_demotion(input.demotion);
    }
    advance_failovers();
}

void session_engine::send_pending_inspections() {
    std::vector<pending_inspection> waiting;
    for (const pending_inspection& inspection : std::exchange(pending_inspections_, {})) {
        target_state* const target = pool_.find(inspection.target);
        if (target == nullptr || now_ > inspection.until) {
            continue;
        }
        target_connection* const connection = pool_.acquire(*target, 0, std::nullopt, now_);
        if (connection == nullptr) {
            if (target->through_holders ? target->checking == 0 : target->opening == 0) {
                open_check_connection(*target);
            }
            waiting.push_back(inspection);
            continue;
        }
        send(*connection,
             {target_command{inspection.kind, {}, {}, {}, std::nullopt, inspection.term}},
             reply_role::inspection);
    }
    pending_inspections_ = std::move(waiting);
}

void session_engine::clear_reports() {
    for (auto& [id, state] : services_) {
        const bool own_report_published = state.suspicion_published;
        std::erase_if(state.reporters, [&](const auto& entry) {
            return entry.first != settings_.host || !own_report_published;
        });
    }
}

void session_engine::add_report(const suspicion_report& report) {
    service_state& state = services_[report.service];
    if (report.reporter == settings_.host && !state.suspicion_published) {
        // The report was published by a previous process of this host.
        withdraw_report(report.service, state);
        return;
    }
    state.reporters[report.reporter] = report.primary;
}

void session_engine::on(const suspicions_listed& input) {
    clear_reports();
    for (const suspicion_report& report : input.reports) {
        add_report(report);
    }
    advance_failovers();
}

void session_engine::on(const suspicion_reported& input) {
    add_report(input.report);
    advance_failovers();
}

void session_engine::on(const suspicion_withdrawn& input) {
    services_[input.service].reporters.erase(input.reporter);
}

void session_engine::on(const suspicion_publish_failed& input) {
    service_state& state = services_[input.service];
    // The registry may execute the call later.
    state.withdraw_at = now_ + settings_.publish_retry;
    state.suspicion_published = false;
    state.publish_after = now_ + settings_.publish_retry;
    state.reporters.erase(settings_.host);
}

void session_engine::on(const suspicion_withdrawal_failed& input) {
    services_[input.service].withdraw_at = now_ + settings_.publish_retry;
}

void session_engine::on(const promotion_lock_answered& input) {
    log(core::log_event::level::info, "duty_claimed",
        {{"result", input.result == promotion_lock_result::acquired        ? "acquired"
                    : input.result == promotion_lock_result::held_by_other ? "held_by_other"
                    : input.result == promotion_lock_result::too_early     ? "too_early"
                                                                           : "unknown"},
         {"fencing_token", std::to_string(input.fencing_token.value())}});
    failover_coordinator_.on_promotion_lock_answered(now_, input);
    advance_failovers();
}

void session_engine::on(const promotion_lock_taken& input) {
    failover_coordinator_.on_promotion_lock_taken(now_, input);
}

void session_engine::on(const promotion_lock_released& input) {
    failover_coordinator_.on_promotion_lock_released(input);
    advance_failovers();
}

void session_engine::on(const promotion_answered& input) {
    log(core::log_event::level::info, "promotion_answered",
        {{"service", input.service.value},
         {"target", input.target.value},
         {"result", input.result == promotion_result::accepted     ? "accepted"
                    : input.result == promotion_result::rejected   ? "rejected"
                    : input.result == promotion_result::overloaded ? "overloaded"
                                                                   : "unknown"}});
    failover_coordinator_.on_promotion(now_, input);
    advance_failovers();
}

} // namespace lovagemoor::proxy
