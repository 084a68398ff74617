#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/settings/fwd.hpp>
#include <lovagemoor/settings/settings_error.hpp>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <iosfwd>
#include <map>
#include <string>

namespace lovagemoor::settings {

/// @brief Settings of lovagemoord --sessions, a host that serves statement sessions on the
/// platform.
struct session_settings {
    core::host_id id;
    core::domain_id domain;
    /// Region in which this host runs; empty if the deployment has a single one.
    std::string region;
    /// Region of each failure domain.
    std::map<core::domain_id, std::string> domain_regions;
    /// @name Limits of the machine
    /// @{
    /// Share of a core.
    double cpu_share = 1;
    /// Memory of the process in MB; 0 if it is not limited.
    std::size_t memory_mb = 0;
    /// Number of file descriptors; 0 if it is not limited.
    std::size_t max_descriptors = 0;
    /// @}
    /// @name Addresses, as ip:port
    /// @{
    std::string caller_listen;
    /// Answers the load balancer's readiness probes over HTTP.
    std::string ready_listen;
    /// Empty for no metrics endpoint.
    std::string metrics_listen;
    std::string registry_address;
    /// Address at which other hosts reach this one; empty if hosts do not exchange messages.
    std::string link_listen;
    /// Calls that read the registry go through relays if more hosts than this are linked.
    std::size_t relay_threshold = 30;
    /// Promotion endpoint of the platform; empty if this host does not promote targets.
    std::string promotion_address;
    /// @}
    /// Time limit of a call to the registry or to the promotion endpoint.
    std::chrono::milliseconds call_timeout{800};
    /// Limit on callers' connections: the platform's limit on file descriptors minus the
    /// descriptors that the host needs for other uses.
    std::size_t max_sessions = 2000;
    /// Time between the notice that a target is draining and its stop.
    std::chrono::milliseconds target_drain{7000};
    /// Time between the request to stop this host and the kill of its process.
    std::chrono::milliseconds stop_grace{6000};
    /// Time after its withdrawal for which a key may still be used; 0 for no bound.
    std::chrono::milliseconds key_withdrawal{0};
    /// @name Quotas of organisations
    /// @{
    /// Length of each window in which a quota holds; 0 if quotas are not enforced.
    std::chrono::milliseconds quota_window{0};
    /// Fraction by which a quota may be exceeded in a window.
    double quota_overage = 0;
    /// Number of operations by which a quota may be exceeded in a window.
    double quota_slack = 0;
    /// @}
    /// @name Limits on callers
    /// @{
    /// Percentage of memory_mb that may be held for callers; 0 for no limit.
    std::size_t caller_memory_percent = 50;
    /// File descriptors that callers leave to targets, the registry, other hosts and probes.
    std::size_t reserved_descriptors = 200;
    /// Time without progress after which a connection without a complete first line is closed.
    std::chrono::milliseconds start_timeout{30'000};
    /// Time without progress after which a connection with an incomplete message is closed.
    std::chrono::milliseconds message_timeout{30'000};
    /// Time without progress after which a connection with unread answers is closed.
    std::chrono::milliseconds answer_timeout{30'000};
    /// Largest answer of a target that is passed on, in MB.
    std::size_t max_answer_mb = 64;
    /// @}
    core::log_event::level log_level = core::log_event::level::info;
};

/// @brief Reads and validates a settings file in INI format.
/// @return The settings, or the first error found.
[[nodiscard]] result<session_settings> read_session_settings(const std::filesystem::path& file);

/// @brief Reads and validates settings in INI format.
/// @param file File name for error messages.
/// @return The settings, or the first error found.
[[nodiscard]] result<session_settings> parse_session_settings(std::istream& input,
                                                              const std::string& file);

/// @return An INI file with all keys at their defaults and their documentation as comments.
[[nodiscard]] std::string render_session_documentation();

} // namespace lovagemoor::settings
