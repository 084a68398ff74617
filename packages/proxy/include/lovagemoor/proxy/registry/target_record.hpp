#pragma once

#include <lovagemoor/core/ids.hpp>

#include <cstdint>
#include <string>

namespace lovagemoor::proxy {

/// @brief A target as it describes itself in the registry.
struct target_record {
    core::target_id id;
    core::service_id service;
    /// ip:port
    std::string address;
    core::domain_id domain;
    /// Statements that the target executes at a time.
    unsigned slots = 1;
    /// It stops soon and accepts no new work after a few seconds.
    bool draining = false;
    /// It considers itself the primary; may be out of date.
    bool claims_primary = false;
    /// Start of the target's process, Unix milliseconds. A process that started anew under the same
    /// id holds none of the state of the former one.
    std::int64_t started_ms = 0;

    friend bool operator==(const target_record&, const target_record&) = default;
};

} // namespace lovagemoor::proxy
