#include <lovagemoor/proxy/quota/quota_owner.hpp>

#include <algorithm>
#include <cmath>

namespace lovagemoor::proxy {

namespace internal {

namespace {

core::duration from_seconds(double seconds) {
    return std::chrono::ceil<core::duration>(std::chrono::duration<double>{seconds});
}

/// Part of a token by which a level may fall short of a whole one through rounding.
constexpr double level_tolerance = 1e-9;

} // namespace

} // namespace internal

quota_owner::quota_owner(quota_settings settings, std::chrono::milliseconds lease_duration)
    : settings_{settings}, lease_duration_{lease_duration} {}

void quota_owner::configure(core::time_point now,
                            const std::map<core::organisation_id, organisation>& organisations) {
    std::erase_if(limits_, [&](const auto& entry) {
        const auto listed = organisations.find(entry.first);
        return listed == organisations.end() || listed->second.rate_per_s <= 0;
    });
    std::erase_if(buckets_,
                  [&](const auto& entry) { return !limits_.contains(entry.first.second); });
    for (auto& [key, filled] : buckets_) {
        refill(filled, limits_.at(key.second).share, now);
    }
    for (const auto& [id, listed] : organisations) {
        if (listed.rate_per_s > 0) {
            limits& known = limits_.try_emplace(id, limits{{}, now}).first->second;
            known.share = share_of(listed, settings_);
        }
    }
    for (auto& [key, filled] : buckets_) {
        filled.level = std::min(filled.level, limits_.at(key.second).share.capacity);
    }
}

void quota_owner::acquire(core::time_point now, quota_slot slot) {
    slots_.try_emplace(slot, now + settings_.grant_validity);
}

void quota_owner::release(quota_slot slot) {
    slots_.erase(slot);
    std::erase_if(buckets_, [slot](const auto& entry) { return entry.first.first == slot; });
}

void quota_owner::on_lease_renewed(core::time_point sent) {
    const core::time_point until = sent + lease_duration_ - lease_margin;
    certain_until_ = std::max(certain_until_.value_or(until), until);
}

void quota_owner::on_lease_lost() {
    certain_until_.reset();
    slots_.clear();
    buckets_.clear();
}

void quota_owner::refill(bucket& filled, const quota_share& share, core::time_point now) {
    if (now <= filled.updated) {
        return;
    }
    const double elapsed_s = std::chrono::duration<double>{now - filled.updated}.count();
    filled.level = std::min(share.capacity, filled.level + elapsed_s * share.rate_per_s);
    filled.updated = now;
}

std::chrono::milliseconds quota_owner::promise(core::time_point now, bucket& empty,
                                               const quota_share& share) const {
    if (share.rate_per_s <= 0) {
        return settings_.window;
    }
    const core::time_point due = std::max(
        now + internal::from_seconds((1 - empty.level) / share.rate_per_s), empty.promised_until);
    // A refused host asks the other slots too, so each promises its part of the tokens.
    empty.promised_until = std::min(
        due + internal::from_seconds(1 / (share.rate_per_s * share.slots)), now + settings_.window);
    return std::min(settings_.window, std::chrono::ceil<std::chrono::milliseconds>(due - now));
}

quota_owner::answer quota_owner::grant(core::time_point now,
                                       const core::organisation_id& organisation, quota_slot slot,
                                       unsigned wanted) {
    const auto owned = slots_.find(slot);
    if (owned == slots_.end() || !certain_until_.has_value() || now >= *certain_until_) {
        return {0, {}, true};
    }
    const auto known = limits_.find(organisation);
    if (known == limits_.end() || known->second.share.slots == 0) {
        return {0, settings_.window, false};
    }
    const quota_share& share = known->second.share;
    const auto [found, created] = buckets_.try_emplace({slot, organisation});
    bucket& used = found->second;
    if (created) {
        used.updated = std::max(owned->second, known->second.since);
    }
    if (now < used.updated) {
        return {0,
                std::chrono::ceil<std::chrono::milliseconds>(used.updated - now) +
                    promise(now, used, share),
                false};
    }
    refill(used, share, now);
    const double whole = std::floor(used.level + internal::level_tolerance);
    const auto granted = static_cast<unsigned>(std::min<double>(wanted, whole));
    if (granted == 0) {
        return {0, promise(now, used, share), false};
    }
    used.level = std::max(0.0, used.level - granted);
    return {granted, {}, false};
}

} // namespace lovagemoor::proxy
