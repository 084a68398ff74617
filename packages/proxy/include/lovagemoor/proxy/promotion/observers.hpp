#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace lovagemoor::proxy {

/// Hosts that report on a service's primary. More would not decide better: each report wakes every
/// host, so that reports by all hosts cost calls in the square of their number.
inline constexpr std::size_t max_observers = 20;

/// @brief Chooses the hosts that report on a service's primary, by rendezvous hashing.
/// @return All hosts if there are no more than max_observers.
[[nodiscard]] std::set<core::host_id> choose_observers(const core::service_id& service,
                                                       const std::vector<core::host_id>& hosts);

} // namespace lovagemoor::proxy
