#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

class cluster;

/// @brief Result of one run of lovagemoorctl.
struct command_result {
    int exit_code = -1;
    /// Standard output.
    std::string output;
};

/// @brief Runs lovagemoorctl against the hosts of a cluster.
/// @param arguments The command and its flags without --hosts, which is added.
/// @param first_host Index, modulo the number of hosts, of the host that comes first in --hosts.
[[nodiscard]] command_result run_operator_command(cluster& system,
                                                  const std::vector<std::string>& arguments,
                                                  std::size_t first_host = 0);

} // namespace lovagemoor::testbed
