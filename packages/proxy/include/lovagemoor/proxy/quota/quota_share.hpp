#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/proxy/registry/configuration.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::proxy {

/// @brief The rule that all hosts together keep for each organisation: in any window, no more than
/// (rate x window + burst) x (1 + overage) + slack operations are sent to targets.
struct quota_settings {
    /// 0 if quotas are not enforced.
    std::chrono::milliseconds window{0};
    double overage = 0;
    double slack = 0;
    /// Time from the sending of a request for which the granted tokens are valid. A host that was
    /// suspended meanwhile finds them expired.
    std::chrono::milliseconds grant_validity{250};
};

/// @brief Number of a quota slot, from 0.
using quota_slot = unsigned;

constexpr unsigned quota_slot_count = 12;
/// Number of slots that share the quota of an organisation, so that the loss of an owner costs a
/// third of it.
constexpr unsigned slots_per_organisation = 3;

/// Prefix of the registry items that name the owners of the slots.
constexpr std::string_view quota_prefix = "lovagemoor/quota/";

/// Delay added per rank before a host claims a free slot, so that usually one host does.
constexpr std::chrono::milliseconds quota_claim_rank_delay{200};

/// @return The slots of an organisation, the same on every host.
[[nodiscard]] std::array<quota_slot, slots_per_organisation>
slots_of(const core::organisation_id& organisation);

/// @return Key of the registry item that names the owner of a slot.
[[nodiscard]] std::string key_of(quota_slot slot);

/// @return Empty if the key names no slot.
[[nodiscard]] std::optional<quota_slot> slot_of_key(std::string_view key);

/// @return Number of the given hosts that claim a free slot before this host. The number of hosts
/// if this host is not among them.
[[nodiscard]] std::size_t claim_rank(quota_slot slot, const core::host_id& host,
                                     std::vector<core::host_id> hosts);

/// @brief How the quota of an organisation is divided.
struct quota_share {
    /// Number of the organisation's slots that grant tokens. A single one if the overage and the
    /// slack do not cover the rounding of several token buckets.
    unsigned slots = 0;
    /// Rate and capacity of the token bucket of each slot.
    double rate_per_s = 0;
    double capacity = 0;
    /// Operations per window that hosts without grants may run, over all hosts.
    double floor = 0;

    friend bool operator==(const quota_share&, const quota_share&) = default;
};

/// @brief Divides the quota of an organisation.
///
/// In a window, the buckets grant up to slots x capacity tokens at once and rate x (window +
/// grant_validity) more, since a token may be used for grant_validity after its grant. What this
/// leaves of the limit is the floor.
/// @pre The organisation has a rate.
[[nodiscard]] quota_share share_of(const organisation& limits, const quota_settings& settings);

/// @return Number of operations that the rule allows in a window.
[[nodiscard]] double window_limit(const organisation& limits, const quota_settings& settings);

} // namespace lovagemoor::proxy
