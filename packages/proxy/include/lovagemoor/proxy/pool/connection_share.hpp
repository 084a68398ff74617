#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstddef>
#include <vector>

namespace lovagemoor::proxy {

/// @brief The connection limit of a target and the number of hosts that share it.
struct connection_limit {
    /// Connections that the target accepts from all hosts; 0 if unknown.
    unsigned connections = 0;
    /// Live hosts, this one included; 0 if unknown.
    std::size_t hosts = 0;
    /// Statements that the target executes at a time.
    unsigned slots = 1;
};

/// @brief Maximum number of connections that this host opens to a target.
///
/// Hosts rarely need their shares at the same time, and one host may serve far more callers than
/// another. A host may therefore exceed its share as long as the target can make use of the
/// additional connections. The target itself enforces its limit.
/// @return At least 1.
[[nodiscard]] unsigned max_connections(const connection_limit& limit) noexcept;

/// @brief Determines which hosts keep a connection to a target that has too few for all of them.
struct connection_priority {
    /// The target is the host's preferred target.
    bool preferred = false;
    /// Average number of hosts that prefer the target.
    std::size_t preferring_hosts = 0;
    /// Rank of the host among all hosts for this target, in [0, 1).
    double rank = 0;
    /// The host is in its startup phase: targets may still count connections of previous processes.
    bool starting = false;
};

/// @brief Minimum number of connections that this host keeps open to a target, even if idle.
///
/// Half of the host's share. The other half is left to hosts that restart while the target still
/// counts the connections of their previous processes. If the share is below two connections, each
/// host keeps one, up to a fraction of the target's limit: first the hosts that prefer the target,
/// then other hosts by rank. If too many prefer it, their ranks decide. The more hosts keep none,
/// the more connections are left free for them: otherwise they are refused, and each attempt
/// occupies a slot. Idle connections are kept because, with many hosts that rarely
/// send statements, opening a connection per statement occupies more of a target's slots than the
/// statements themselves.
///
/// If the share is below two connections, hosts in their startup phase keep only half of the
/// connections that previous processes leave free, so that the other half can serve statements.
/// Otherwise, when all hosts restart after a power failure, a few of them would hold all free
/// connections and the others could not reach the target.
[[nodiscard]] unsigned min_connections(const connection_limit& limit,
                                       const connection_priority& priority) noexcept;

/// @return The host's rank for connections to a target, in [0, 1), evenly distributed over hosts.
[[nodiscard]] double connection_rank(const core::host_id& host, const core::target_id& target);

/// @brief Chooses the replica to which a host keeps a connection when connections are scarce.
///
/// Rendezvous hashing distributes the hosts evenly and reassigns few of them when replicas change.
/// @param candidates Must not be empty.
[[nodiscard]] core::target_id preferred_target(const core::host_id& host,
                                               const std::vector<core::target_id>& candidates);

} // namespace lovagemoor::proxy
