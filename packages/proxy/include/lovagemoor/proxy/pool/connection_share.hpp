#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstddef>
#include <vector>

namespace lovagemoor::proxy {

/// @brief A target's limit on connections and the hosts that share it.
struct connection_limit {
    /// Connections that the target accepts from all hosts; 0 if unknown.
    unsigned connections = 0;
    /// Live hosts, this one included; 0 if unknown.
    std::size_t hosts = 0;
    /// Statements that the target executes at a time.
    unsigned slots = 1;
};

/// @brief Most connections that this host opens to a target.
///
/// Hosts rarely need their shares at the same time, and one host may serve far more callers than
/// another, so that a host may exceed its share as far as a target can make use of it. The target
/// itself enforces its limit.
/// @return At least 1.
[[nodiscard]] unsigned max_connections(const connection_limit& limit) noexcept;

/// @brief A host's claim to a connection of a target that has few of them.
struct connection_priority {
    /// The target is the host's home.
    bool preferred = false;
    /// Hosts that have the target as their home, on average.
    std::size_t preferring_hosts = 0;
    /// Place of the host among all hosts, in [0, 1).
    double rank = 0;
    /// The host started lately: targets may still count connections of former processes.
    bool starting = false;
};

/// @brief Connections that this host keeps open to a target without use.
///
/// Half of the share: the rest is left to hosts that restart while the connections of their former
/// processes linger. Where the share is below two connections, hosts keep one each, as far as most
/// of the target's connections suffice: those whose home it is, then others by their place.
/// Answers the pattern of many hosts with rare statements each: a connection opened for each
/// statement takes more of a target's slots than the statements do.
///
/// While hosts settle, they keep only half of what their former processes left, so that the other
/// half serves statements. Answers the pattern of all hosts that return from a loss of power: few
/// of them would hold all free connections, and the others could not reach the target.
[[nodiscard]] unsigned min_connections(const connection_limit& limit,
                                       const connection_priority& priority) noexcept;

/// @return The host's place for connections to a target, in [0, 1); evenly spread over hosts.
[[nodiscard]] double connection_rank(const core::host_id& host, const core::target_id& target);

/// @brief Chooses the replica that a host keeps connected when connections are scarce.
///
/// Rendezvous hashing spreads the hosts evenly and moves few of them when replicas change.
/// @param candidates Not empty.
[[nodiscard]] core::target_id preferred_target(const core::host_id& host,
                                               const std::vector<core::target_id>& candidates);

} // namespace lovagemoor::proxy
