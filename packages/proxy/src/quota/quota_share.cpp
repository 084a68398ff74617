#include <lovagemoor/proxy/quota/quota_share.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <system_error>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// A bucket grants whole tokens only, so up to one token of each stays unused.
constexpr double rounding_per_slot = 1;

/// Smallest part of the organisation's rate for which the quota is divided between several slots.
constexpr double min_rate_part = 0.9;

std::string name_of(quota_slot slot) {
    return (slot < 10 ? "0" : "") + std::to_string(slot);
}

} // namespace

} // namespace internal

std::array<quota_slot, slots_per_organisation> slots_of(const core::organisation_id& organisation) {
    std::array<quota_slot, quota_slot_count> ranked{};
    std::iota(ranked.begin(), ranked.end(), 0U);
    std::sort(ranked.begin(), ranked.end(), [&](quota_slot left, quota_slot right) {
        return core::rendezvous_weight(organisation.value, internal::name_of(left)) >
               core::rendezvous_weight(organisation.value, internal::name_of(right));
    });
    std::array<quota_slot, slots_per_organisation> chosen{};
    std::copy_n(ranked.begin(), slots_per_organisation, chosen.begin());
    return chosen;
}

std::string key_of(quota_slot slot) {
    return std::string{quota_prefix} + internal::name_of(slot);
}

std::optional<quota_slot> slot_of_key(std::string_view key) {
    if (!key.starts_with(quota_prefix)) {
        return std::nullopt;
    }
    const std::string_view name = key.substr(quota_prefix.size());
    quota_slot slot = 0;
    const std::from_chars_result parsed =
        std::from_chars(name.data(), name.data() + name.size(), slot);
    if (parsed.ec != std::errc{} || slot >= quota_slot_count || internal::name_of(slot) != name) {
        return std::nullopt;
    }
    return slot;
}

std::size_t claim_rank(quota_slot slot, const core::host_id& host,
                       std::vector<core::host_id> hosts) {
    const std::vector<core::host_id> ranked = core::rank_hosts(key_of(slot), std::move(hosts));
    return static_cast<std::size_t>(
        std::distance(ranked.begin(), std::find(ranked.begin(), ranked.end(), host)));
}

double window_limit(const organisation& limits, const quota_settings& settings) {
    const double window_s = std::chrono::duration<double>{settings.window}.count();
    return (limits.rate_per_s * window_s + limits.burst) * (1 + settings.overage) + settings.slack;
}

quota_share share_of(const organisation& limits, const quota_settings& settings) {
    const double limit = window_limit(limits, settings);
    const double refill_s =
        std::chrono::duration<double>{settings.window + settings.grant_validity}.count();
    quota_share share;
    for (const unsigned slots : {slots_per_organisation, 1U}) {
        const double rounding = slots > 1 ? internal::rounding_per_slot : 0;
        share.slots = slots;
        share.capacity = std::max(limits.burst / slots + rounding, 1.0);
        const double burst = share.capacity * slots;
        const double rate = std::min(limits.rate_per_s, (limit - burst) / refill_s);
        share.rate_per_s = std::max(rate, 0.0) / slots;
        share.floor = std::max(limit - burst - share.rate_per_s * slots * refill_s, 0.0);
        if (rate >= limits.rate_per_s * internal::min_rate_part) {
            break;
        }
    }
    if (share.capacity * share.slots > limit) {
        // Not even one operation is allowed in a window.
        return {};
    }
    return share;
}

} // namespace lovagemoor::proxy
