#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief What the choice of a target for a read depends on.
struct read_candidate {
    core::target_id target;
    /// Mean time of a statement at the target, with waiting there.
    core::duration mean_latency{0};
    /// This host's statements at the target now.
    unsigned in_use = 0;
    unsigned slots = 1;
    bool same_domain = false;
    bool primary = false;
    /// An idle connection exists.
    bool connected = false;
    /// No connection is idle and no further one may be opened.
    bool full = false;
    /// Refused or failed lately, is draining, or refused this read.
    bool avoided = false;
};

/// @brief Added to targets in other failure domains, for the round trip and the traffic.
/// Twice the one-way delay between failure domains of the reference deployments (1.4 ms).
inline constexpr core::duration cross_domain_cost = std::chrono::milliseconds{3};

/// @brief Added where a connection must be opened first; the mean of the reference deployments.
inline constexpr core::duration connect_cost = std::chrono::milliseconds{20};

/// @brief Chooses the target with the least expected time for a read.
///
/// Answers the pattern of a swinging load that fills some targets' slots before others: the time
/// grows with this host's statements at the target and with the latency that it observes there.
/// The primary's slots are kept for writes as long as a replica is not clearly slower.
/// @return Index of the choice; nothing if every candidate is full or avoided.
[[nodiscard]] std::optional<std::size_t>
choose_read_target(const std::vector<read_candidate>& candidates);

} // namespace lovagemoor::proxy
