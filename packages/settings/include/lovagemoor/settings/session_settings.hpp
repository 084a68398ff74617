#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/settings/fwd.hpp>
#include <lovagemoor/settings/settings_error.hpp>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <iosfwd>
#include <string>

namespace lovagemoor::settings {

/// @brief Settings of a host that serves statement sessions on the platform.
struct session_settings {
    core::host_id id;
    core::domain_id domain;
    /// ip:port
    /// @{
    std::string caller_listen;
    /// Answers the load balancer's probes.
    std::string ready_listen;
    /// Empty: no metrics endpoint.
    std::string metrics_listen;
    std::string registry_address;
    /// Empty: this host promotes no targets.
    std::string promotion_address;
    /// @}
    /// Longest wait for an answer of the registry or of the promotion endpoint.
    std::chrono::milliseconds call_timeout{800};
    /// Callers' connections; the platform's limit on descriptors less those for other uses.
    std::size_t max_sessions = 2000;
    /// Notice that a target gives before it stops.
    std::chrono::milliseconds target_drain{7000};
    /// Time from the request to stop until the process is killed.
    std::chrono::milliseconds stop_grace{6000};
    core::log_event::level log_level = core::log_event::level::info;
};

/// @brief Reads and validates a settings file in INI format.
/// @return The settings, or the first error found.
[[nodiscard]] result<session_settings> read_session_settings(const std::filesystem::path& file);

/// @brief Reads and validates settings in INI format.
/// @param file Name used in errors.
[[nodiscard]] result<session_settings> parse_session_settings(std::istream& input,
                                                              const std::string& file);

/// @return An INI file with all keys at their defaults and their documentation as comments.
[[nodiscard]] std::string render_session_documentation();

} // namespace lovagemoor::settings
