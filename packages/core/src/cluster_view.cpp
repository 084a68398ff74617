#include <lovagemoor/core/cluster_view.hpp>

#include <lovagemoor/core/placement.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lovagemoor::core {

namespace internal {

template <typename Map, typename Key>
const typename Map::mapped_type* find_in(const Map& map, const Key& key) noexcept {
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

struct key_of_record {
    std::string operator()(const configuration& /*value*/) const { return configuration_key; }

    std::string operator()(const term_record& value) const {
        return terms_prefix + value.group.value;
    }

    std::string operator()(const group_record& value) const {
        return groups_prefix + value.id.value;
    }

    std::string operator()(const host_record& value) const { return hosts_prefix + value.id.value; }
};

bool may_own_targets(const member_update& member) noexcept {
    const bool running =
        member.state == member_state::alive || member.state == member_state::suspect;
    return running && !member.host.leaving;
}

} // namespace internal

std::string record_key(const platform_record& record) {
    return std::visit(internal::key_of_record{}, record.value);
}

cluster_view::cluster_view(host_record self, incarnation_number incarnation)
    : self_{std::move(self)}, incarnation_{incarnation} {}

void cluster_view::set_leaving() noexcept {
    self_.leaving = true;
    change_generation();
}

void cluster_view::change_generation() noexcept {
    ++generation_;
    owners_.clear();
    live_hosts_.clear();
}

const configuration& cluster_view::current_configuration() const noexcept {
    return configuration_;
}

const service_record* cluster_view::find_service(const service_id& name) const noexcept {
    for (const service_record& service : configuration_.services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

const group_record* cluster_view::find_group(const group_id& group) const noexcept {
    return internal::find_in(groups_, group);
}

const term_record* cluster_view::find_term(const group_id& group) const noexcept {
    return internal::find_in(terms_, group);
}

const group_record* cluster_view::group_of(const target_id& target) const noexcept {
    const group_id* group = internal::find_in(group_of_target_, target);
    return group == nullptr ? nullptr : find_group(*group);
}

const target_record* cluster_view::find_target(const target_id& target) const noexcept {
    const group_record* group = group_of(target);
    if (group == nullptr) {
        return nullptr;
    }
    for (const target_record& candidate : group->targets) {
        if (candidate.id == target) {
            return &candidate;
        }
    }
    return nullptr;
}

const service_record* cluster_view::service_of(const group_id& group) const noexcept {
    for (const service_record& service : configuration_.services) {
        if (std::find(service.groups.begin(), service.groups.end(), group) !=
            service.groups.end()) {
            return &service;
        }
    }
    return nullptr;
}

const target_record* cluster_view::primary_of(const group_id& group) const noexcept {
    const term_record* term = find_term(group);
    if (term == nullptr || term->phase != term_phase::serving) {
        return nullptr;
    }
    return find_target(term->primary);
}

std::int64_t cluster_view::revision_of(const std::string& key) const noexcept {
    const std::int64_t* revision = internal::find_in(revisions_, key);
    return revision == nullptr ? 0 : *revision;
}

bool cluster_view::apply_configuration(const configuration& value) {
    if (value.version <= configuration_.version) {
        return false;
    }
    configuration_ = value;
    return true;
}

bool cluster_view::apply(const platform_record& record) {
    const std::string key = record_key(record);
    if (record.revision <= revision_of(key)) {
        return false;
    }
    if (const configuration* value = std::get_if<configuration>(&record.value)) {
        if (!apply_configuration(*value)) {
            return false;
        }
    } else if (const term_record* term = std::get_if<term_record>(&record.value)) {
        term_record& held = terms_[term->group];
        if (term->term < held.term) {
            return false;
        }
        held = *term;
    } else if (const group_record* group = std::get_if<group_record>(&record.value)) {
        std::erase_if(group_of_target_,
                      [group](const auto& entry) { return entry.second == group->id; });
        for (const target_record& target : group->targets) {
            group_of_target_[target.id] = group->id;
        }
        groups_[group->id] = *group;
    } else if (const host_record* host = std::get_if<host_record>(&record.value)) {
        listed_hosts_[host->id] = *host;
        const auto found = members_.find(host->id);
        if (found != members_.end()) {
            // The record of an earlier process may be marked as leaving, so a later record without
            // the mark must clear it unless the member itself has announced that it leaves.
            const bool announced = found->second.state == member_state::leaving;
            found->second.host.leaving = announced || host->leaving;
        }
    }
    revisions_[key] = record.revision;
    update_digest();
    change_generation();
    return true;
}

void cluster_view::update_digest() {
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    for (const auto& [key, revision] : revisions_) {
        XXH3_64bits_update(&state, key.data(), key.size() + 1);
        XXH3_64bits_update(&state, &revision, sizeof revision);
    }
    digest_ = XXH3_64bits_digest(&state);
}

std::vector<platform_record> cluster_view::records() const {
    std::vector<platform_record> result;
    result.reserve(revisions_.size());
    const auto add = [this, &result](const auto& value) {
        platform_record record{0, value};
        record.revision = revision_of(record_key(record));
        result.push_back(std::move(record));
    };
    if (configuration_.version > 0) {
        add(configuration_);
    }
    for (const auto& [id, term] : terms_) {
        add(term);
    }
    for (const auto& [id, group] : groups_) {
        add(group);
    }
    for (const auto& [id, host] : listed_hosts_) {
        add(host);
    }
    return result;
}

const member_update* cluster_view::find_member(const host_id& host) const noexcept {
    return internal::find_in(members_, host);
}

void cluster_view::set_member(const member_update& update) {
    member_update& held = members_[update.host.id];
    const bool owned_before = internal::may_own_targets(held);
    const std::string address_before = held.host.peer_address;
    held = update;
    const host_record* listed = internal::find_in(listed_hosts_, update.host.id);
    if (listed != nullptr) {
        held.host.leaving = held.host.leaving || listed->leaving;
    }
    const bool is_new = address_before.empty();
    if (is_new || internal::may_own_targets(held) != owned_before ||
        held.host.peer_address != address_before) {
        change_generation();
    }
}

void cluster_view::remove_member(const host_id& host) {
    if (members_.erase(host) > 0) {
        change_generation();
    }
}

std::vector<host_id> cluster_view::live_hosts() const {
    std::vector<host_id> hosts;
    if (!self_.leaving) {
        hosts.push_back(self_.id);
    }
    for (const auto& [id, member] : members_) {
        if (internal::may_own_targets(member)) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

const std::vector<host_id>& cluster_view::live_hosts(const domain_id& domain) const {
    if (live_hosts_.empty()) {
        if (!self_.leaving) {
            live_hosts_[self_.domain].push_back(self_.id);
        }
        for (const auto& [id, member] : members_) {
            if (internal::may_own_targets(member)) {
                live_hosts_[member.host.domain].push_back(id);
            }
        }
    }
    return live_hosts_[domain];
}

std::optional<host_id> cluster_view::owner_of(const target_id& target) const {
    const auto found = owners_.find(target);
    if (found != owners_.end()) {
        return found->second;
    }
    return owners_.emplace(target, find_owner(target)).first->second;
}

std::optional<host_id> cluster_view::find_owner(const target_id& target) const {
    const target_record* record = find_target(target);
    if (record == nullptr) {
        return std::nullopt;
    }
    const std::vector<host_id>& near = live_hosts(record->domain);
    if (!near.empty()) {
        return best_host(target.value, near);
    }
    const std::vector<host_id> all = live_hosts();
    return all.empty() ? std::nullopt : std::optional{best_host(target.value, all)};
}

std::vector<host_id> cluster_view::observers_of(const group_id& group, std::size_t count) const {
    std::vector<host_id> observers;
    const group_record* record = find_group(group);
    if (record == nullptr) {
        return observers;
    }
    std::set<host_id> chosen;
    const auto add = [&observers, &chosen](const host_id& host) {
        if (chosen.insert(host).second) {
            observers.push_back(host);
        }
    };
    for (const target_record& target : record->targets) {
        const std::optional<host_id> owner = owner_of(target.id);
        if (owner.has_value()) {
            add(*owner);
        }
    }
    if (observers.size() >= count) {
        return observers;
    }
    for (const host_id& host : rank_hosts(group.value, live_hosts())) {
        add(host);
        if (observers.size() >= count) {
            break;
        }
    }
    return observers;
}

std::string cluster_view::peer_address(const host_id& host) const {
    if (host == self_.id) {
        return self_.peer_address;
    }
    const member_update* member = find_member(host);
    if (member != nullptr) {
        return member->host.peer_address;
    }
    const host_record* listed = internal::find_in(listed_hosts_, host);
    return listed == nullptr ? std::string{} : listed->peer_address;
}

void cluster_view::observe(time_point now, const target_observation& observation) {
    observed_target& held = observations_[observation.target];
    held.observation = observation;
    held.sampled_at = now;
}

const observed_target* cluster_view::find_observation(const target_id& target) const noexcept {
    return internal::find_in(observations_, target);
}

position_validity cluster_view::check_position(const group_position& shown) const noexcept {
    const term_record* record = find_term(shown.group);
    const term_number known = record == nullptr ? 0 : record->term;
    if (shown.term > known) {
        return position_validity::ahead;
    }
    if (record == nullptr || shown.term == 0) {
        return position_validity::valid;
    }
    for (const term_start& start : record->history) {
        if (start.term > shown.term) {
            // The later term's first log entry is at its start position, so an entry of the earlier
            // term at this position has been lost.
            return shown.position < start.start ? position_validity::valid
                                                : position_validity::diverged;
        }
    }
    return position_validity::valid;
}

} // namespace lovagemoor::core
