#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lovagemoor::proxy {

/// @brief Consistency level of the reads on a route.
enum class read_consistency : std::uint8_t {
    /// Reads see every write acknowledged before the read began.
    latest,
    /// Reads see every write acknowledged more than max_staleness before the read began.
    bounded_staleness,
    /// Like bounded_staleness; reads also see every write of the same session.
    read_your_writes,
};

/// @brief Settings for the sessions of one database name.
struct route {
    std::string database;
    core::service_id service;
    read_consistency reads = read_consistency::latest;
    /// Ignored for read_consistency::latest.
    std::chrono::milliseconds max_staleness{0};
    /// Timeout of a statement.
    std::chrono::milliseconds statement_timeout{1000};
    /// Time within which a whole operation should be answered.
    std::chrono::milliseconds latency_objective{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Callers must present a key of an organisation.
    bool requires_key = false;

    friend bool operator==(const route&, const route&) = default;
};

/// @brief Limits that apply to each target of a service.
struct service_limits {
    /// Number of connections that a target accepts from all hosts together.
    unsigned max_connections = 0;
    /// Number of replicas that must receive a commit before it is acknowledged.
    unsigned synchronous_replicas = 0;

    friend bool operator==(const service_limits&, const service_limits&) = default;
};

/// @brief A customer of the operators. Its callers are known by its keys.
struct organisation {
    core::organisation_id id;
    /// Limit on its operations on all hosts together, in operations per second; 0 for none.
    double rate_per_s = 0;
    /// Operations that it may start at once, beside the rate.
    double burst = 0;

    friend bool operator==(const organisation&, const organisation&) = default;
};

/// @brief A version of the configuration set by the operators.
struct configuration {
    std::int64_t version = -1;
    /// Routes by database name. Shared, so that a transaction keeps the route with which it began.
    std::map<std::string, std::shared_ptr<const route>, std::less<>> routes;
    std::map<core::service_id, service_limits> services;
    std::map<core::organisation_id, organisation> organisations;
    /// The organisation that holds each key.
    std::map<std::string, core::organisation_id, std::less<>> keys;
    /// Time after which an open transaction without a statement is rolled back.
    std::chrono::milliseconds transaction_idle_timeout{3000};
};

} // namespace lovagemoor::proxy
