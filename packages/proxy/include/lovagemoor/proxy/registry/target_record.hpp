#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstdint>
#include <string>

namespace lovagemoor::proxy {

/// @brief Description that a target publishes in the registry.
struct target_record {
    core::target_id id;
    core::service_id service;
    /// ip:port
    std::string address;
    core::domain_id domain;
    /// Number of statements that the target executes concurrently.
    unsigned slots = 1;
    /// The target stops soon and accepts no new statements after a few seconds.
    bool draining = false;
    /// The target considers itself the primary. May be out of date.
    bool claims_primary = false;
    /// Start time of the target's process in Unix milliseconds. A process that restarted under the
    /// same id has none of the state of the previous one.
    std::int64_t started_ms = 0;

    friend bool operator==(const target_record&, const target_record&) = default;
};

} // namespace lovagemoor::proxy
