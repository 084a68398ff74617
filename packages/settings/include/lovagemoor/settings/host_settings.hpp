#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/settings/fwd.hpp>
#include <lovagemoor/settings/settings_error.hpp>

#include <filesystem>
#include <iosfwd>
#include <string>
#include <vector>

namespace lovagemoor::settings {

/// @brief A host that a starting host contacts to join the others.
struct seed_host {
    core::host_id id;
    /// ZeroMQ endpoint, for example tcp://127.0.0.1:7400.
    std::string endpoint;

    friend bool operator==(const seed_host&, const seed_host&) = default;
};

/// @brief Settings of lovagemoord without --sessions.
struct host_settings {
    core::host_id id;
    core::domain_id domain;
    /// ZeroMQ endpoint that listens for other hosts, as tcp://ip:port.
    std::string peer_listen;
    /// Source IP address of connections to other hosts; empty lets the system choose.
    std::string peer_source;
    /// ZeroMQ endpoint at which other hosts reach this one; empty to use peer_listen.
    std::string peer_advertise;
    /// @name Addresses to listen on, as ip:port
    /// @{
    std::string caller_listen;
    std::string operator_listen;
    /// Empty for no metrics endpoint.
    std::string metrics_listen;
    /// @}
    std::string session_key_file;
    /// Endpoints of the platform's key-value service, as ip:port.
    std::vector<std::string> platform_endpoints;
    std::vector<seed_host> seeds;
    core::core_settings core;
    core::log_event::level log_level = core::log_event::level::info;
};

/// @brief Documentation of one settings key.
struct key_description {
    std::string section;
    std::string name;
    /// Type of the value, for example "whole number" or "list of ip:port".
    std::string type;
    /// Unit of the value, for example "ms"; empty if it has none.
    std::string unit;
    /// Allowed range, for example "10 to 60000"; empty if the value has no limits.
    std::string range;
    /// Default value as text; empty if the key is required or its default is empty.
    std::string default_value;
    bool required = false;
    std::string documentation;
};

/// @brief Reads and validates a settings file in INI format.
/// @return The settings, or the first error found.
[[nodiscard]] result<host_settings> read_host_settings(const std::filesystem::path& file);

/// @brief Reads and validates settings in INI format.
/// @param file File name for error messages.
/// @return The settings, or the first error found.
[[nodiscard]] result<host_settings> parse_host_settings(std::istream& input,
                                                        const std::string& file);

/// @return The documentation of all keys, grouped by section.
[[nodiscard]] std::vector<key_description> describe_keys();

/// @return An INI file with all keys at their defaults and their documentation as comments.
[[nodiscard]] std::string render_documentation();

} // namespace lovagemoor::settings
