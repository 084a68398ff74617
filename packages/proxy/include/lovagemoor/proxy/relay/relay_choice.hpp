#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/proxy/link/link_peer.hpp>

#include <chrono>
#include <cstddef>
#include <vector>

/// @file
/// @brief Which hosts pass the registry's answers on to the others.
///
/// Hosts share relays with their region, as links between regions are small. If the deployment has
/// a single region, they share them with their failure domain.

namespace lovagemoor::proxy {

/// Hosts of each group that call the registry for the others. The second one serves while the
/// first is lost.
constexpr std::size_t relays_per_group = 2;

/// Hosts of each group that are asked while its relays fail. If 60% of a group are lost at once,
/// the relays and all of these are among them once in a thousand times.
constexpr std::size_t standbys_per_group = 12;

/// Calls go through relays if more hosts than this are linked. The calls of fewer hosts cost less
/// than the delay of a detour when a relay is lost.
constexpr std::size_t relay_threshold = 30;

/// Time over which the hosts of a lost relay spread their calls to the registry.
constexpr std::chrono::milliseconds relay_loss_spread{500};

/// @return The relays that the hosts of a failure domain ask, best first. Depends only on the list,
/// so hosts with the same list agree.
[[nodiscard]] std::vector<core::host_id> relays_of_domain(const std::vector<link_peer>& peers,
                                                          const core::domain_id& domain);

/// @return The relays that a host may ask, in its order of preference. Empty if it is a relay
/// itself.
[[nodiscard]] std::vector<core::host_id> relays_for(const std::vector<link_peer>& peers,
                                                    const core::host_id& host,
                                                    const core::domain_id& domain);

/// @return The hosts that a host may ask while its relays fail, in the order that its whole group
/// uses, so that few of them serve. Empty if it is a relay itself.
[[nodiscard]] std::vector<core::host_id> standbys_for(const std::vector<link_peer>& peers,
                                                      const core::host_id& host,
                                                      const core::domain_id& domain);

/// @return The part of relay_loss_spread after which a host calls the registry itself.
[[nodiscard]] std::chrono::milliseconds relay_loss_delay(const core::host_id& host);

} // namespace lovagemoor::proxy
