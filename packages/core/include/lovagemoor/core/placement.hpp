#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace lovagemoor::core {

/// @brief Returns the rendezvous weight of a candidate for a key, which is the same on every host.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// @brief Ranks hosts for a key by rendezvous (highest random weight) hashing with XXH3.
/// @param key Identifier of the item to place, for example of a target.
/// @param hosts Candidates in any order.
/// @return The candidates, best first. Removing a host moves only the keys for which it ranked
/// first.
[[nodiscard]] std::vector<host_id> rank_hosts(std::string_view key, std::vector<host_id> hosts);

/// @brief Returns the first host of rank_hosts() without sorting the others.
/// @pre `hosts` is not empty.
[[nodiscard]] const host_id& best_host(std::string_view key, const std::vector<host_id>& hosts);

/// @brief Selects one of a service's groups for a shard key by rendezvous hashing.
/// @pre `groups` is not empty.
[[nodiscard]] const group_id& select_group(std::string_view shard_key,
                                           const std::vector<group_id>& groups);

} // namespace lovagemoor::core
