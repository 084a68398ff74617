#pragma once

#include <cstddef>

namespace lovagemoor::proxy {

/// @brief Numbers of hosts and failure domains that report a primary as unreachable.
struct suspicion_count {
    /// Live hosts.
    std::size_t hosts = 0;
    /// Hosts that report the primary as unreachable.
    std::size_t reporters = 0;
    /// Failure domains of the live hosts.
    std::size_t domains = 0;
    /// Failure domains of the reporters.
    std::size_t reporting_domains = 0;
};

/// @brief Decides whether enough hosts report a primary as unreachable to replace it.
///
/// A majority always suffices. A smaller group of at least two hosts suffices if it is at least a
/// quarter of all hosts and spans several failure domains: the primary is then partitioned from
/// part of the hosts, and a new primary that all hosts reach serves more callers. A group in a
/// single failure domain may be partitioned itself, so it only counts if there is no other domain.
[[nodiscard]] bool confirms_loss(const suspicion_count& count) noexcept;

} // namespace lovagemoor::proxy
