#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace lovagemoor::proxy {

/// Maximum number of hosts that report on a service's primary. More hosts would not improve the
/// decision: each report wakes every host, so the number of calls would grow with the square of the
/// number of hosts if all of them reported.
inline constexpr std::size_t max_observers = 20;

/// @brief Chooses the hosts that report on a service's primary, by rendezvous hashing.
/// @return All hosts if there are at most max_observers, otherwise max_observers of them.
[[nodiscard]] std::set<core::host_id> choose_observers(const core::service_id& service,
                                                       const std::vector<core::host_id>& hosts);

} // namespace lovagemoor::proxy
