#include <lovagemoor/proxy/quota/quota_client.hpp>

#include <algorithm>
#include <cmath>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Weight of the newest interval in the average need.
constexpr double need_weight = 0.5;

/// Most tokens that a request asks for beyond the operations that wait. Unused tokens are lost.
constexpr double max_extra = 64;

} // namespace

} // namespace internal

const char* to_string(quota_refusal_reason reason) noexcept {
    switch (reason) {
    case quota_refusal_reason::exceeded:
        return "exceeded";
    case quota_refusal_reason::unreachable:
        return "unreachable";
    case quota_refusal_reason::late:
        break;
    }
    return "late";
}

quota_client::quota_client(quota_settings settings) : settings_{settings} {}

void quota_client::configure(core::time_point now,
                             const std::map<core::organisation_id, organisation>& organisations) {
    for (auto& [id, state] : organisations_) {
        const auto listed = organisations.find(id);
        const bool limited = listed != organisations.end() && listed->second.rate_per_s > 0;
        if (!limited && !state.removed_at.has_value()) {
            state.removed_at = now;
        }
    }
    for (const auto& [id, listed] : organisations) {
        if (listed.rate_per_s <= 0) {
            continue;
        }
        const auto [found, created] = organisations_.try_emplace(id);
        organisation_state& state = found->second;
        const quota_share share = share_of(listed, settings_);
        if (created) {
            const std::array<quota_slot, slots_per_organisation> slots = slots_of(id);
            for (std::size_t index = 0; index < slots.size(); ++index) {
                state.slots.at(index).slot = slots.at(index);
            }
            state.need_updated = now;
        }
        if (created || state.removed_at.has_value() || state.share != share) {
            state.share = share;
            state.removed_at.reset();
            state.batches.clear();
            state.pending = 0;
            state.next_slot = 0;
            std::erase_if(outstanding_, [&changed = id](const auto& entry) {
                return entry.second.organisation == changed;
            });
        }
    }
}

quota_client::organisation_state* quota_client::find(const core::organisation_id& organisation) {
    const auto found = organisations_.find(organisation);
    return found == organisations_.end() || found->second.removed_at.has_value() ? nullptr
                                                                                 : &found->second;
}

bool quota_client::limits(const core::organisation_id& organisation) const {
    const auto found = organisations_.find(organisation);
    return found != organisations_.end() && !found->second.removed_at.has_value();
}

void quota_client::drop_expired(core::time_point now, organisation_state& state) const {
    std::erase_if(state.batches,
                  [now](const batch& held) { return held.count == 0 || now >= held.valid_until; });
    while (!state.floor_uses.empty() && now - state.floor_uses.front() > settings_.window) {
        state.floor_uses.pop_front();
    }
}

bool quota_client::floor_available(core::time_point now, organisation_state& state) const {
    if (floor_.hosts == 0 || now >= floor_.valid_until) {
        return false;
    }
    for (std::size_t index = 0; index < state.share.slots; ++index) {
        if (now >= state.slots.at(index).unreachable_until) {
            return false;
        }
    }
    const double part = std::floor(state.share.floor / static_cast<double>(floor_.hosts));
    return static_cast<double>(state.floor_uses.size()) < part;
}

bool quota_client::available(core::time_point now, const core::organisation_id& organisation) {
    organisation_state* const state = find(organisation);
    if (state == nullptr) {
        return true;
    }
    drop_expired(now, *state);
    return !state->batches.empty() || floor_available(now, *state);
}

bool quota_client::take(core::time_point now, const core::organisation_id& organisation) {
    organisation_state* const state = find(organisation);
    if (state == nullptr) {
        return true;
    }
    drop_expired(now, *state);
    if (!state->batches.empty()) {
        --state->batches.front().count;
        note_use(now, *state);
        return true;
    }
    if (floor_available(now, *state)) {
        state->floor_uses.push_back(now);
        note_use(now, *state);
        return true;
    }
    return false;
}

void quota_client::note_use(core::time_point now, organisation_state& state) const {
    update_need(now, state);
    ++state.used;
}

void quota_client::update_need(core::time_point now, organisation_state& state) const {
    // Further intervals without a use halve the need each; after ten it is close to none.
    for (int interval = 0; interval < 10 && now - state.need_updated >= settings_.grant_validity;
         ++interval) {
        state.need += (state.used - state.need) * internal::need_weight;
        state.used = 0;
        state.need_updated += settings_.grant_validity;
    }
    if (now - state.need_updated >= settings_.grant_validity) {
        state.need = 0;
        state.need_updated = now;
    }
}

void quota_client::mark_unreachable(core::time_point now, slot_state& slot) {
    slot.unreachable_until = now + slot.pause;
    slot.pause = std::min(slot.pause * 2, unreachable_pause_max);
}

void quota_client::check_pending(core::time_point now, organisation_state& state) {
    const auto sent = outstanding_.find(state.pending);
    if (sent == outstanding_.end()) {
        state.pending = 0;
    } else if (now - sent->second.sent >= answer_timeout) {
        // A late answer is still used while its tokens are valid.
        mark_unreachable(now, state.slots.at(sent->second.slot_index));
        state.pending = 0;
    }
}

std::optional<std::size_t> quota_client::next_slot(core::time_point now,
                                                   const organisation_state& state) {
    for (std::size_t step = 0; step < state.share.slots; ++step) {
        const std::size_t index = (state.next_slot + step) % state.share.slots;
        const slot_state& slot = state.slots.at(index);
        if (now >= slot.refused_until && now >= slot.unreachable_until) {
            return index;
        }
    }
    return std::nullopt;
}

quota_refusal quota_client::refuse(core::time_point now, organisation_state& state) const {
    quota_refusal refused{quota_refusal_reason::unreachable, settings_.window};
    slot_state* earliest = nullptr;
    core::time_point earliest_at = core::time_point::max();
    for (std::size_t index = 0; index < state.share.slots; ++index) {
        slot_state& slot = state.slots.at(index);
        const bool exceeded = now < slot.refused_until;
        const core::time_point at =
            exceeded ? std::max(slot.retry_at, slot.refused_until) : slot.unreachable_until;
        if (exceeded) {
            refused.reason = quota_refusal_reason::exceeded;
        }
        if (at < earliest_at) {
            earliest_at = at;
            earliest = &slot;
        }
    }
    if (state.share.slots == 0) {
        refused.reason = quota_refusal_reason::exceeded;
    }
    if (earliest == nullptr) {
        return refused;
    }
    refused.retry_after =
        std::clamp(std::chrono::ceil<std::chrono::milliseconds>(earliest_at - now),
                   std::chrono::milliseconds{1}, settings_.window);
    const double rate = state.share.rate_per_s * state.share.slots;
    if (refused.reason == quota_refusal_reason::exceeded && rate > 0) {
        // The token that is due then goes to this caller, the following one to the next.
        earliest->retry_at = std::min(earliest_at + std::chrono::ceil<core::duration>(
                                                        std::chrono::duration<double>{1 / rate}),
                                      now + settings_.window);
    }
    return refused;
}

std::optional<quota_refusal> quota_client::refusal(core::time_point now,
                                                   const core::organisation_id& organisation) {
    organisation_state* const state = find(organisation);
    if (state == nullptr) {
        return std::nullopt;
    }
    check_pending(now, *state);
    if (state->pending != 0 || next_slot(now, *state).has_value()) {
        return std::nullopt;
    }
    return refuse(now, *state);
}

quota_client::outcome quota_client::ask(core::time_point now,
                                        const core::organisation_id& organisation, bool is_new) {
    organisation_state* const state = find(organisation);
    if (state == nullptr) {
        return {};
    }
    check_pending(now, *state);
    if (state->pending != 0) {
        state->waiting += is_new ? 1 : 0;
        return {};
    }
    const std::optional<std::size_t> index = next_slot(now, *state);
    if (!index.has_value()) {
        return {std::nullopt, refuse(now, *state)};
    }
    update_need(now, *state);
    const double extra = std::min(std::round(state->need), internal::max_extra);
    const unsigned wanted = std::max({1U, state->waiting + 1, static_cast<unsigned>(extra)});
    state->waiting = 0;
    state->next_slot = (*index + 1) % state->share.slots;
    state->pending = numbers_.next();
    outstanding_[state->pending] = {organisation, *index, now};
    return {quota_request{state->pending, organisation, state->slots.at(*index).slot, wanted},
            std::nullopt};
}

std::optional<core::organisation_id> quota_client::on_grant(core::time_point now,
                                                            const quota_grant& grant) {
    const auto sent = outstanding_.find(grant.number);
    if (sent == outstanding_.end()) {
        return std::nullopt;
    }
    const outstanding request = sent->second;
    outstanding_.erase(sent);
    organisation_state* const state = find(request.organisation);
    if (state == nullptr) {
        return std::nullopt;
    }
    if (state->pending == grant.number) {
        state->pending = 0;
    }
    slot_state& slot = state->slots.at(request.slot_index);
    if (grant.not_owner) {
        mark_unreachable(now, slot);
        return request.organisation;
    }
    slot.pause = unreachable_pause;
    slot.unreachable_until = {};
    if (grant.granted == 0) {
        slot.retry_at = now + grant.retry_after;
        slot.refused_until = now + std::min(grant.retry_after, refused_pause_max);
        return request.organisation;
    }
    const core::time_point valid_until =
        request.sent + std::min(grant.valid_for, settings_.grant_validity);
    if (now < valid_until) {
        state->batches.push_back({valid_until, grant.granted});
    }
    return request.organisation;
}

std::optional<core::organisation_id> quota_client::on_unreachable(core::time_point now,
                                                                  std::uint64_t number) {
    return on_grant(now, quota_grant{number, 0, {}, {}, true});
}

void quota_client::expire(core::time_point now) {
    std::erase_if(outstanding_, [&](const auto& entry) {
        return now - entry.second.sent >=
                   std::max<core::duration>(settings_.grant_validity, answer_timeout) &&
               (!organisations_.contains(entry.second.organisation) ||
                organisations_.at(entry.second.organisation).pending != entry.first);
    });
    for (auto& [id, state] : organisations_) {
        drop_expired(now, state);
    }
    std::erase_if(organisations_, [&](const auto& entry) {
        return entry.second.removed_at.has_value() &&
               now - *entry.second.removed_at > settings_.window;
    });
}

} // namespace lovagemoor::proxy
