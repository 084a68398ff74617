#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lovagemoor::core {

/// @brief Condition for acknowledging a write.
enum class durability : std::uint8_t {
    /// A majority of the group's targets holds the write's log position.
    replicated,
    /// The primary holds the write's log position. A failover may lose an acknowledged write.
    primary_only,
};

/// @brief Settings of one database service, which operators change.
struct service_record {
    service_id name;
    std::vector<group_id> groups;
    std::chrono::milliseconds max_staleness{0};
    std::uint32_t connections_per_target = 20;
    std::uint32_t slots_per_target = 2;
    durability write_durability = durability::replicated;
    std::chrono::seconds idempotency_retention{std::chrono::hours{24}};

    friend bool operator==(const service_record&, const service_record&) = default;
};

/// @brief The configuration document, stored under one key of the platform's service.
struct configuration {
    std::uint64_t version = 0;
    std::vector<service_record> services;
    /// Operation identifiers of the latest accepted changes, oldest first.
    std::vector<std::string> operation_ids;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// @brief Log position at which a term began.
struct term_start {
    term_number term = 0;
    log_position start = 0;

    friend bool operator==(const term_start&, const term_start&) = default;
};

enum class term_phase : std::uint8_t {
    electing,
    serving,
};

/// @brief The elected primary of a group, stored under one key per group in the platform's service.
struct term_record {
    group_id group;
    term_number term = 0;
    term_phase phase = term_phase::electing;
    host_id candidate;
    target_id primary;
    /// Terms that reached the serving phase, in ascending order.
    std::vector<term_start> history;

    friend bool operator==(const term_record&, const term_record&) = default;
};

/// @brief One database server of a group, as listed by the platform.
struct target_record {
    target_id id;
    domain_id domain;
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;

    friend bool operator==(const target_record&, const target_record&) = default;
};

/// @brief A database group, as listed by the platform.
struct group_record {
    group_id id;
    std::vector<target_record> targets;

    friend bool operator==(const group_record&, const group_record&) = default;
};

/// @brief A host, as listed by the platform and as gossiped between hosts.
struct host_record {
    host_id id;
    domain_id domain;
    /// ZeroMQ endpoint, for example tcp://127.0.0.1:7400.
    std::string peer_address;
    /// gRPC address for callers, host:port.
    std::string caller_address;
    /// gRPC address for operators, host:port.
    std::string operator_address;
    bool leaving = false;

    friend bool operator==(const host_record&, const host_record&) = default;
};

} // namespace lovagemoor::core
