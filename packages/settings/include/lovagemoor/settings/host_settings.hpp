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

/// @brief A host that a new host contacts first.
struct seed_host {
    core::host_id id;
    /// ZeroMQ endpoint, for example tcp://127.0.0.1:7400.
    std::string endpoint;

    friend bool operator==(const seed_host&, const seed_host&) = default;
};

/// @brief Settings of lovagemoord.
struct host_settings {
    core::host_id id;
    core::domain_id domain;
    /// ZeroMQ endpoint, tcp://ip:port.
    std::string peer_listen;
    /// IP number from which connections to other hosts are made; empty lets the system choose.
    std::string peer_source;
    /// ZeroMQ endpoint under which other hosts reach this one; empty for the one it listens on.
    std::string peer_advertise;
    /// ip:port
    /// @{
    std::string caller_listen;
    std::string operator_listen;
    /// Empty: no metrics endpoint.
    std::string metrics_listen;
    /// @}
    std::string session_key_file;
    /// ip:port of each endpoint of the platform's key-value service.
    std::vector<std::string> platform_endpoints;
    std::vector<seed_host> seeds;
    core::core_settings core;
    core::log_event::level log_level = core::log_event::level::info;
};

/// @brief Documentation of one key.
struct key_description {
    std::string section;
    std::string name;
    /// For example "whole number" or "list of ip:port".
    std::string type;
    /// For example "ms"; empty without a unit.
    std::string unit;
    /// For example "10 to 60000"; empty without limits.
    std::string range;
    /// Text of the default; empty for required keys and for empty defaults.
    std::string default_value;
    bool required = false;
    std::string documentation;
};

/// @brief Reads and validates a settings file in INI format.
/// @return The settings, or the first error found.
[[nodiscard]] result<host_settings> read_host_settings(const std::filesystem::path& file);

/// @brief Reads and validates settings in INI format.
/// @param file Name used in errors.
[[nodiscard]] result<host_settings> parse_host_settings(std::istream& input,
                                                        const std::string& file);

/// @return All keys, grouped by section.
[[nodiscard]] std::vector<key_description> describe_keys();

/// @return An INI file with all keys at their defaults and their documentation as comments.
[[nodiscard]] std::string render_documentation();

} // namespace lovagemoor::settings
