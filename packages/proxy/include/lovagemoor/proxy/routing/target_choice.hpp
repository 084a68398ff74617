#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Inputs of choose_read_target() for one target.
struct read_candidate {
    core::target_id target;
    /// Average statement latency, including queueing at the target.
    core::duration mean_latency{0};
    /// Number of this host's statements in progress at the target.
    unsigned in_use = 0;
    unsigned slots = 1;
    bool same_domain = false;
    bool primary = false;
    /// An idle connection exists.
    bool connected = false;
    /// No connection is idle and no further connection may be opened.
    bool full = false;
    /// The target recently refused or failed, is draining, or could not serve this read.
    bool avoided = false;
};

/// @brief Cost added to targets in other failure domains, for the round trip and the traffic. Twice
/// the one-way delay between failure domains in the reference deployments (1.4 ms).
inline constexpr core::duration cross_domain_cost = std::chrono::milliseconds{3};

/// @brief Cost added if a connection must be opened first. Average in the reference deployments.
inline constexpr core::duration connect_cost = std::chrono::milliseconds{20};

/// @brief Chooses the target with the shortest expected time for a read.
///
/// Under a fluctuating load, the slots of some targets fill before those of others. The expected
/// time therefore grows with the number of this host's statements at the target and with the
/// latency observed there. The primary's slots are reserved for writes unless the replicas are
/// clearly slower.
/// @return Index of the chosen candidate. Empty if every candidate is full or avoided.
[[nodiscard]] std::optional<std::size_t>
choose_read_target(const std::vector<read_candidate>& candidates);

} // namespace lovagemoor::proxy
