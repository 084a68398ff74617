#include <lovagemoor/proxy/pool/target_pool.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

std::vector<target_connection> target_pool::update(const target_record& record,
                                                   core::time_point now) {
    std::vector<target_connection> obsolete;
    const auto found = targets_.find(record.id);
    if (found != targets_.end()) {
        const target_record& known = found->second.record;
        if (known.address != record.address || known.started_ms != record.started_ms ||
            known.service != record.service) {
            obsolete = remove(record.id);
        }
    }
    target_state& state = targets_[record.id];
    if (record.draining && !state.record.draining) {
        state.draining_since = now;
    }
    state.record = record;
    state.removed_at.reset();
    services_[record.service][record.id] = &state;
    return obsolete;
}

std::vector<target_connection> target_pool::remove(const core::target_id& target) {
    std::vector<target_connection> orphans;
    for (auto entry = connections_.begin(); entry != connections_.end();) {
        if (entry->second.target == target) {
            orphans.push_back(std::move(entry->second));
            entry = connections_.erase(entry);
        } else {
            ++entry;
        }
    }
    const auto removed = targets_.find(target);
    if (removed != targets_.end()) {
        services_[removed->second.record.service].erase(target);
        targets_.erase(removed);
    }
    return orphans;
}

target_state* target_pool::find(const core::target_id& target) {
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : &found->second;
}

target_connection* target_pool::find(core::connection_id connection) {
    const auto found = connections_.find(connection);
    return found == connections_.end() ? nullptr : &found->second;
}

std::vector<target_state*> target_pool::of_service(const core::service_id& service) {
    std::vector<target_state*> targets;
    const auto known = services_.find(service);
    if (known != services_.end()) {
        for (const auto& [id, state] : known->second) {
            targets.push_back(state);
        }
    }
    return targets;
}

target_connection& target_pool::open(target_state& target, core::connection_id id,
                                     const core::organisation_id& organisation,
                                     core::time_point now) {
    target_connection& connection = connections_[id];
    connection.id = id;
    connection.target = target.record.id;
    connection.organisation = organisation;
    connection.requested = now;
    connection.last_used = now;
    ++target.opening;
    return connection;
}

target_connection& target_pool::borrow(target_state& target, core::connection_id id,
                                       const core::organisation_id& organisation,
                                       const core::host_id& holder, core::time_point now) {
    target_connection& connection = open(target, id, organisation, now);
    connection.holder = holder;
    ++target.borrowed;
    return connection;
}

void target_pool::on_opened(target_connection& connection, core::time_point now) {
    detach(connection);
    connection.phase = connection_phase::idle;
    if (connection.user != 0) {
        connection.last_used = now;
    }
    if (target_state* const target = find(connection.target)) {
        target->idle.push_back(connection.id);
    }
}

bool target_pool::has_idle(const target_state& target,
                           const core::organisation_id& organisation) const {
    return std::any_of(target.idle.begin(), target.idle.end(), [&](core::connection_id id) {
        const target_connection& candidate = connections_.at(id);
        return candidate.organisation == organisation && !candidate.any_organisation;
    });
}

target_connection* target_pool::acquire(target_state& target, session_id session,
                                        const std::optional<core::organisation_id>& organisation,
                                        core::time_point now) {
    auto chosen = target.idle.end();
    // The last ones were used most recently.
    for (auto entry = target.idle.begin(); entry != target.idle.end(); ++entry) {
        const target_connection& candidate = connections_.at(*entry);
        if (organisation.has_value() &&
            (candidate.organisation != *organisation || candidate.any_organisation)) {
            continue;
        }
        chosen = entry;
        if (candidate.user == session) {
            break;
        }
    }
    if (chosen == target.idle.end()) {
        return nullptr;
    }
    target_connection& connection = connections_.at(*chosen);
    target.idle.erase(chosen);
    connection.phase = connection_phase::in_use;
    connection.user = session;
    if (session != 0) {
        connection.last_used = now;
    }
    ++target.in_use;
    return &connection;
}

void target_pool::release(target_connection& connection, core::time_point now) {
    on_opened(connection, now);
}

void target_pool::erase(core::connection_id connection) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        detach(found->second);
        target_state* const target = find(found->second.target);
        if (target != nullptr && found->second.holder.has_value()) {
            --target->borrowed;
            target->checking -= found->second.any_organisation ? 1 : 0;
        }
        connections_.erase(found);
    }
}

void target_pool::detach(const target_connection& connection) {
    target_state* const target = find(connection.target);
    if (target == nullptr) {
        return;
    }
    switch (connection.phase) {
    case connection_phase::opening:
        --target->opening;
        break;
    case connection_phase::idle:
        std::erase(target->idle, connection.id);
        break;
    case connection_phase::in_use:
        --target->in_use;
        break;
    }
}

} // namespace lovagemoor::proxy
