#pragma once

#include "parameters.hpp"

#include <lovagemoor/testbed/cluster.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lovagemoor::bench {

/// @brief Creates the cluster options of the profile that the parameters name, with `hosts` and
/// `service_time_ms` from the parameters.
[[nodiscard]] testbed::cluster_options make_options(const parameters& values);

/// @return `per_host` clients for each host outside the excluded failure domain.
[[nodiscard]] std::vector<testbed::caller_client>
connect_clients(testbed::cluster& system, std::size_t per_host,
                const core::domain_id& excluded = core::domain_id{});

/// @return A shard key that the proxy maps to the group.
[[nodiscard]] std::string find_shard_key(const testbed::cluster_options& options,
                                         const core::group_id& group);

[[nodiscard]] core::group_id group_name(std::uint32_t index);

/// @return A shard key drawn from a uniform distribution.
[[nodiscard]] std::string draw_shard_key(std::mt19937_64& random);

/// @brief Parses the numeric order identifier in a row that a target returned.
[[nodiscard]] std::int64_t parse_order_id(const std::string& text);

} // namespace lovagemoor::bench
