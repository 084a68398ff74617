#pragma once

#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/records.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::core {

struct put_service {
    service_record service;
};

struct remove_service {
    service_id name;
};

/// @brief One change of the configuration document.
struct change_configuration {
    /// Version on which the change is based; 0 stands for the version in force on this host.
    std::uint64_t expected_version = 0;
    /// Unique per change. A repeated change is answered from the document, which keeps the
    /// identifiers of the latest changes.
    std::string operation_id;
    std::variant<put_service, remove_service> change;
};

struct get_configuration {};

struct get_status {};

/// @brief Starts a graceful stop of the host; only the host itself accepts the call.
struct drain_host {
    host_id host;
};

/// @brief Requests a change of the group's primary although the present one is reachable.
struct promote_group {
    group_id group;
};

struct get_burn {};

using operator_call = std::variant<change_configuration, get_configuration, get_status, drain_host,
                                   promote_group, get_burn>;

enum class change_status : std::uint8_t {
    accepted,
    conflict,
    invalid,
    unknown,
    platform_unavailable,
};

struct change_result {
    change_status status = change_status::unknown;
    std::uint64_t version = 0;
    std::string detail;
};

struct target_status {
    target_id target;
    group_id group;
    host_id owner;
    bool reachable = false;
    bool leaving = false;
    bool primary = false;
    term_number term = 0;
    log_position position = 0;
    std::chrono::milliseconds age{0};
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t connections = 0;
};

struct status_result {
    host_id host;
    std::uint64_t configuration_version = 0;
    bool draining = false;
    std::vector<member_update> members;
    std::vector<target_status> targets;
};

struct drain_result {
    bool accepted = false;
    std::uint32_t requests_in_progress = 0;
};

struct promote_result {
    bool started = false;
    std::string detail;
};

/// @brief Good and bad outcomes of one service and urgency within one time window.
struct burn_entry {
    service_id service;
    urgency priority = urgency::normal;
    std::chrono::seconds window{0};
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

struct burn_result {
    host_id host;
    std::vector<burn_entry> entries;
};

using operator_result = std::variant<change_result, configuration, status_result, drain_result,
                                     promote_result, burn_result>;

} // namespace lovagemoor::core
