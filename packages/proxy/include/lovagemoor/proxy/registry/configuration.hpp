#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lovagemoor::proxy {

/// @brief What a read on a route may see.
enum class read_consistency : std::uint8_t {
    /// Every write acknowledged before the read began.
    latest,
    /// Every write acknowledged more than the route's max_staleness before the read began.
    bounded_staleness,
    /// As bounded_staleness, and every write of the same session.
    read_your_writes,
};

/// @brief How the sessions of one database name are served.
struct route {
    std::string database;
    core::service_id service;
    read_consistency reads = read_consistency::latest;
    /// Not used with read_consistency::latest.
    std::chrono::milliseconds max_staleness{0};
    /// Longest time for one statement.
    std::chrono::milliseconds statement_timeout{1000};
    /// Time within which a whole operation is to be answered.
    std::chrono::milliseconds latency_objective{0};
    /// 0 is the most urgent.
    unsigned priority = 0;

    friend bool operator==(const route&, const route&) = default;
};

/// @brief Limits that hold for each target of a service.
struct service_limits {
    /// Connections that a target accepts from all hosts together.
    unsigned max_connections = 0;
    /// Replicas that must have received a commit before it is acknowledged.
    unsigned synchronous_replicas = 0;

    friend bool operator==(const service_limits&, const service_limits&) = default;
};

/// @brief One version of the operators' configuration.
struct configuration {
    std::int64_t version = -1;
    /// By database name; shared so that a transaction keeps the route that it began with.
    std::map<std::string, std::shared_ptr<const route>, std::less<>> routes;
    std::map<core::service_id, service_limits> services;
    /// Longest time that an open transaction may stay without a statement.
    std::chrono::milliseconds transaction_idle_timeout{3000};
};

} // namespace lovagemoor::proxy
