#pragma once

#include <lovagemoor/proxy/session/statement_result.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Answer of a target to a status command.
struct target_status {
    bool primary = false;
    replication_position received;
    core::term_number term_held = 0;
    /// Delay with which the target applies the log of the primary.
    std::chrono::milliseconds lag{0};
    /// Term in which the target leads or follows.
    core::term_number term = 0;
};

/// @brief A target's complete reply to a command.
struct target_reply {
    statement_result result;
    /// Only set for status and hold_replication.
    std::optional<target_status> status;
};

} // namespace lovagemoor::proxy
