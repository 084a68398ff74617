#pragma once

#include <cstddef>

namespace lovagemoor::proxy {

/// @brief Who reports that a primary cannot be reached.
struct suspicion_count {
    /// Live hosts.
    std::size_t hosts = 0;
    /// Hosts that report the primary.
    std::size_t reporters = 0;
    /// Failure domains of the live hosts.
    std::size_t domains = 0;
    /// Failure domains of the reporters.
    std::size_t reporting_domains = 0;
};

/// @brief Decides whether a primary is lost to enough hosts to replace it.
///
/// A majority always suffices. Fewer hosts suffice if they are a quarter or more and in several
/// failure domains: then the primary is cut off from part of the hosts, and a replacement that all
/// reach serves more callers. Hosts of a single failure domain may be cut off themselves.
[[nodiscard]] bool confirms_loss(const suspicion_count& count) noexcept;

} // namespace lovagemoor::proxy
