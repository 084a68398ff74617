#pragma once

#include "exit_code.hpp"
#include "host_clients.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace lovagemoor::ctl {

/// @brief Options that apply to all commands.
struct command_options {
    std::vector<host_client>& hosts;
    /// Print JSON instead of tables.
    bool json = false;
    /// Time limit of each call to a host.
    std::chrono::milliseconds timeout{0};
};

/// @name Commands
/// Each command prints its result to standard output and error messages to standard error.
/// @{
[[nodiscard]] exit_code list_services(const command_options& options);
[[nodiscard]] exit_code change_configuration(const command_options& options,
                                             const proto::ChangeConfigurationRequest& request);
[[nodiscard]] exit_code show_status(const command_options& options);
[[nodiscard]] exit_code show_versions(const command_options& options);
[[nodiscard]] exit_code drain_host(const command_options& options, const std::string& host);
[[nodiscard]] exit_code promote_group(const command_options& options, const std::string& group);
[[nodiscard]] exit_code show_burn(const command_options& options);
/// @}

} // namespace lovagemoor::ctl
