#pragma once

#include <lovagemoor/proxy/session/statement_result.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief What a target says of itself on a status command.
struct target_status {
    bool primary = false;
    replication_position received;
    core::term_number term_held = 0;
    /// Time by which it applies behind the primary.
    std::chrono::milliseconds lag{0};
};

/// @brief A target's complete reply to one command.
struct target_reply {
    statement_result result;
    /// Only for status and hold_replication.
    std::optional<target_status> status;
};

} // namespace lovagemoor::proxy
