#include <lovagemoor/proxy/engine/session_engine.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace lovagemoor::proxy {

void session_engine::on(const configuration_changed& input) {
    if (configuration_.has_value() && input.configuration.version <= configuration_->version) {
        return;
    }
    log(core::log_event::level::info, "configuration_applied",
        {{"version", std::to_string(input.configuration.version)},
         {"former", configuration_.has_value() ? std::to_string(configuration_->version) : "none"},
         {"routes", std::to_string(input.configuration.routes.size())}});
    configuration_ = input.configuration;
    if (settings_.quota.window.count() > 0) {
        quota_client_.configure(now_, configuration_->organisations);
    }
    keys_required_ = std::any_of(configuration_->routes.begin(), configuration_->routes.end(),
                                 [](const auto& entry) { return entry.second->requires_key; });
    min_connections_outdated_ = true;
    update_ready();
}

void session_engine::on(const configuration_confirmed& input) {
    configuration_confirmed_at_ =
        std::max(configuration_confirmed_at_.value_or(input.as_of), input.as_of);
    update_ready();
}

void session_engine::on(const targets_listed& input) {
    std::set<core::target_id> listed;
    const std::vector<core::target_id> copied = copied_entries_.on_listed(now_, input.targets);
    for (const target_record& record : input.targets) {
        listed.insert(record.id);
        if (std::find(copied.begin(), copied.end(), record.id) == copied.end()) {
            apply_target(record);
        } else {
            apply_copied_entry(record);
        }
    }
    std::vector<core::target_id> missing;
    for (const auto& [id, state] : pool_.targets()) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const core::target_id& id : missing) {
        mark_target_removed(id);
    }
    targets_known_ = true;
    update_ready();
}

void session_engine::on(const target_changed& input) {
    copied_entries_.on_changed(input.target.id);
    apply_target(input.target);
}

void session_engine::on(const target_removed& input) {
    copied_entries_.on_changed(input.target);
    mark_target_removed(input.target);
}

void session_engine::apply_copied_entry(const target_record& listed) {
    const copied_entry_use use = judge_copied_entry(listed, knowledge_of(listed));
    if (use.now.has_value()) {
        apply_target(*use.now);
    }
    if (use.later) {
        log(core::log_event::level::info, "target_entry_held",
            {{"target", listed.id.value},
             {"service", listed.service.value},
             {"claims_primary", listed.claims_primary ? "true" : "false"}});
        copied_entries_.hold(now_, listed);
    }
}

target_knowledge session_engine::knowledge_of(const target_record& listed) const {
    target_knowledge known;
    const auto state = pool_.targets().find(listed.id);
    if (state != pool_.targets().end()) {
        known.record = state->second.record;
        known.left = state->second.removed_at.has_value();
    } else if (const auto* const departed = departed_targets_.find(listed.id)) {
        known.record = departed->record;
        known.left = true;
    }
    known.address_reused =
        std::any_of(pool_.targets().begin(), pool_.targets().end(), [&](const auto& entry) {
            const target_state& other = entry.second;
            return !other.removed_at.has_value() && other.record.id != listed.id &&
                   other.record.address == listed.address &&
                   other.record.started_ms > listed.started_ms;
        });
    const auto service = services_.find(listed.service);
    known.other_primary_confirmed = service != services_.end() &&
                                    service->second.view.confirmed() &&
                                    service->second.view.primary() != listed.id;
    return known;
}

target_record session_engine::with_known_drain(const target_record& listed) const {
    target_record record = listed;
    const target_knowledge known = knowledge_of(listed);
    record.draining = listed.draining ||
                      (known.record.has_value() && known.record->draining &&
                       listed.started_ms != 0 && known.record->started_ms == listed.started_ms);
    return record;
}

void session_engine::apply_held_entries() {
    for (const target_record& record : copied_entries_.due(now_)) {
        apply_target(record);
    }
    departed_targets_.expire(now_);
}

void session_engine::apply_target(const target_record& listed) {
    const target_record record = with_known_drain(listed);
    const target_state* const known = pool_.find(record.id);
    if (known == nullptr || known->record != record || known->removed_at.has_value()) {
        log(core::log_event::level::info, "target_updated",
            {{"target", record.id.value},
             {"service", record.service.value},
             {"draining", record.draining ? "true" : "false"},
             {"claims_primary", record.claims_primary ? "true" : "false"}});
    }
    if (known != nullptr && known->record.service != record.service) {
        services_[known->record.service].view.on_removed(record.id);
    }
    for (const target_connection& obsolete : pool_.update(record, now_)) {
        out_.emplace_back(close_target{obsolete.id});
        on_connection_lost(obsolete, obsolete.phase != connection_phase::opening);
    }
    if (const auto* const departed = departed_targets_.find(record.id)) {
        if (departed->record.draining && departed->record.started_ms == record.started_ms) {
            pool_.find(record.id)->draining_since = departed->draining_since;
        }
        departed_targets_.erase(record.id);
    }
    ranked_holders_.clear();
    target_state& updated = *pool_.find(record.id);
    updated.through_holders = through_holders(updated);
    service_state& state = services_[record.service];
    const std::optional<core::target_id> former = state.view.primary();
    state.view.on_claim(record.id, record.claims_primary);
    if (state.view.primary().has_value() && state.view.primary() != former) {
        state.missing_since.reset();
        state.failing_since.reset();
    }
    min_connections_outdated_ = true;
    dispatch_waiting(record.service);
}

void session_engine::mark_target_removed(const core::target_id& id) {
    target_state* const target = pool_.find(id);
    if (target == nullptr || target->removed_at.has_value()) {
        return;
    }
    log(core::log_event::level::info, "target_removed",
        {{"target", id.value}, {"service", target->record.service.value}});
    target->removed_at = now_;
    min_connections_outdated_ = true;
}

bool session_engine::is_replaced(const target_state& target) const {
    return std::any_of(pool_.targets().begin(), pool_.targets().end(), [&](const auto& entry) {
        const target_state& other = entry.second;
        return !other.removed_at.has_value() && other.record.id != target.record.id &&
               other.record.service == target.record.service &&
               other.record.address == target.record.address;
    });
}

unsigned session_engine::synchronous_replicas_of(const core::service_id& service) const {
    if (!configuration_.has_value()) {
        return 0;
    }
    const auto limits = configuration_->services.find(service);
    return limits == configuration_->services.end() ? 0 : limits->second.synchronous_replicas;
}

bool session_engine::may_hold_commits(const target_state& target) const {
    const auto service = services_.find(target.record.service);
    if (service != services_.end() && service->second.view.primary() == target.record.id) {
        // Its replicas have every commit that it acknowledged.
        return false;
    }
    return synchronous_replicas_of(target.record.service) > 0 && target.removed_at.has_value() &&
           now_ - std::max(*target.removed_at, target.last_contact) <
               settings_.unlisted_replica_retention &&
           !is_replaced(target);
}

void session_engine::forget_target(const core::target_id& id) {
    const target_state* const target = pool_.find(id);
    departed_targets_.remember(
        {target->record, target->draining_since, target->removed_at.value_or(now_)});
    services_[target->record.service].view.on_removed(id);
    for (const target_connection& orphan : pool_.remove(id)) {
        out_.emplace_back(close_target{orphan.id});
        on_connection_lost(orphan, orphan.phase != connection_phase::opening);
    }
}

void session_engine::on(const hosts_listed& input) {
    std::set<core::host_id> listed;
    for (const host_record& record : input.hosts) {
        listed.insert(record.host);
        update_host(record);
    }
    if (registry_incomplete(now_)) {
        // Hosts that are missing may not have registered again yet. The next list tells.
        return;
    }
    for (auto& [id, state] : hosts_) {
        if (!listed.contains(id) && !state.removed_at.has_value()) {
            mark_host_removed(id, state);
        }
    }
}

void session_engine::on(const link_peers_listed& input) {
    if (link_peers_ == input.peers) {
        return;
    }
    link_peers_ = input.peers;
    ranked_holders_.clear();
    min_connections_outdated_ = true;
}

void session_engine::update_host(const host_record& record) {
    const auto [known, is_new] = hosts_.try_emplace(record.host, host_state{record.domain, {}});
    if (!is_new && !known->second.removed_at.has_value() && known->second.domain == record.domain) {
        return;
    }
    known->second = host_state{record.domain, std::nullopt};
    ++hosts_version_;
    min_connections_outdated_ = true;
}

void session_engine::mark_host_removed(const core::host_id& host, host_state& state) {
    state.removed_at = now_;
    ++hosts_version_;
    for (auto& [id, service] : services_) {
        service.reporters.erase(host);
    }
}

void session_engine::on(const registry_reachable& input) {
    registry_reachable_ = input.reachable;
}

void session_engine::update_ready() {
    const bool ready = configuration_.has_value() && targets_known_ &&
                       (!keys_required_ || may_use_keys()) && !stopping_since_.has_value() &&
                       !isolated_since_.has_value();
    if (ready != ready_) {
        ready_ = ready;
        log(core::log_event::level::info, "ready_changed", {{"ready", ready ? "true" : "false"}});
        out_.emplace_back(set_ready{ready});
    }
}

} // namespace lovagemoor::proxy
