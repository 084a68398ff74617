#include <lovagemoor/proxy/quota/quota_claims.hpp>

#include <lovagemoor/proxy/promotion/promotion_token.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

quota_claims::quota_claims(core::host_id host, std::chrono::milliseconds lease_duration)
    : host_{std::move(host)}, lease_duration_{lease_duration} {}

void quota_claims::on_era(core::time_point now, const std::optional<registry_era>& era) {
    if (era == era_) {
        return;
    }
    if (era_.has_value()) {
        // The items may be gone, and the ids of leases may be given out again.
        slots_ = {};
        lease_ = 0;
        listed_ = false;
    }
    era_ = era;
    era_known_since_ = now;
}

void quota_claims::on_lease(lease_id lease) {
    lease_ = lease;
}

void quota_claims::on_hosts(std::vector<core::host_id> hosts) {
    hosts_ = std::move(hosts);
}

void quota_claims::on_listed(core::time_point now, const std::vector<registry_item>& items) {
    listed_ = true;
    std::array<bool, quota_slot_count> found{};
    for (const registry_item& item : items) {
        const std::optional<quota_slot> slot = slot_of_key(item.key);
        if (slot.has_value()) {
            found.at(*slot) = true;
            on_changed(now, {item, false});
        }
    }
    for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
        if (!found.at(slot)) {
            on_changed(now, {{key_of(slot), {}, 0, 0}, true});
        }
    }
}

void quota_claims::on_changed(core::time_point now, const item_change& change) {
    const std::optional<quota_slot> slot = slot_of_key(change.item.key);
    if (!slot.has_value()) {
        return;
    }
    slot_state& state = slots_.at(*slot);
    if (!change.removed && change.item.revision <= state.released_revision) {
        return;
    }
    if (change.removed) {
        state.item.reset();
        state.free_since = state.free_since.value_or(now);
    } else if (!state.item.has_value() || change.item.revision >= state.item->revision) {
        state.item = change.item;
        state.free_since.reset();
    }
}

void quota_claims::stop() {
    stopped_ = true;
}

std::vector<quota_claims::claim> quota_claims::next_claims(core::time_point now) {
    std::vector<claim> due;
    const bool restored_lately = era_.has_value() && *era_ > promotion_token::first_era &&
                                 now - era_known_since_ < lease_duration_;
    if (stopped_ || !listed_ || lease_ == 0 || restored_lately || hosts_.empty()) {
        return due;
    }
    for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
        slot_state& state = slots_.at(slot);
        if (state.pending || now < state.retry_at) {
            continue;
        }
        registry_revision expected = 0;
        if (state.item.has_value()) {
            if (state.item->value != host_.value || state.item->lease == lease_) {
                continue;
            }
            // A former process of this host owned the slot; it has ended.
            expected = state.item->revision;
        } else if (now < *state.free_since + quota_claim_rank_delay * static_cast<int>(claim_rank(
                                                                          slot, host_, hosts_))) {
            continue;
        }
        state.pending = true;
        due.push_back({slot,
                       lease_,
                       {{{key_of(slot), expected}}, {{key_of(slot), host_.value, lease_}}, {}}});
    }
    return due;
}

void quota_claims::on_written(core::time_point now, const claim& sent,
                              const write_outcome& outcome) {
    slot_state& state = slots_.at(sent.slot);
    state.pending = false;
    if (outcome.status == registry_status::done) {
        on_changed(now, {{key_of(sent.slot), host_.value, outcome.revision, sent.lease}, false});
    } else {
        // If the claim was executed, or another host was first, the item's change shows it.
        state.retry_at = now + retry_pause;
    }
}

std::optional<quota_claims::release> quota_claims::next_release(core::time_point now) {
    if (stopped_ || lease_ == 0 || hosts_.empty() || now < release_at_) {
        return std::nullopt;
    }
    const auto release_of = [this, now](quota_slot slot) {
        release_at_ = now + release_pause;
        const std::string key = key_of(slot);
        return release{slot, {{{key, slots_.at(slot).released_revision}}, {}, {key}}};
    };
    std::size_t owned = 0;
    std::optional<quota_slot> ranked_after_others;
    for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
        if (slots_.at(slot).releasing) {
            return release_of(slot);
        }
        if (owns(slot)) {
            ++owned;
            if (!ranked_after_others.has_value() && claim_rank(slot, host_, hosts_) > 0) {
                ranked_after_others = slot;
            }
        }
    }
    const std::size_t part = (quota_slot_count + hosts_.size() - 1) / hosts_.size();
    if (owned <= kept_multiple * part || !ranked_after_others.has_value()) {
        return std::nullopt;
    }
    slot_state& given_up = slots_.at(*ranked_after_others);
    given_up.released_revision = given_up.item->revision;
    given_up.releasing = true;
    given_up.item.reset();
    given_up.free_since = now;
    given_up.retry_at = now + released_time;
    return release_of(*ranked_after_others);
}

void quota_claims::on_released(const release& sent, const write_outcome& outcome) {
    // A conflict shows that the item is no longer the one that was given up.
    if (outcome.status == registry_status::done || outcome.status == registry_status::conflict) {
        slots_.at(sent.slot).releasing = false;
    }
}

bool quota_claims::owns(quota_slot slot) const {
    const std::optional<registry_item>& item = slots_.at(slot).item;
    return !stopped_ && lease_ != 0 && item.has_value() && item->value == host_.value &&
           item->lease == lease_;
}

std::optional<core::host_id> quota_claims::owner_of(quota_slot slot) const {
    const std::optional<registry_item>& item = slots_.at(slot).item;
    return item.has_value() ? std::optional<core::host_id>{core::host_id{item->value}}
                            : std::nullopt;
}

std::optional<write_items> quota_claims::removal() const {
    write_items removed;
    for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
        if (owns(slot)) {
            const std::string key = key_of(slot);
            removed.expected.push_back({key, slots_.at(slot).item->revision});
            removed.removals.push_back(key);
        }
    }
    return removed.removals.empty() ? std::nullopt : std::optional<write_items>{removed};
}

} // namespace lovagemoor::proxy
