#pragma once

#include <cstddef>

namespace lovagemoor::proxy {

/// @brief Memory that the engine holds for a session.
struct session_memory {
    /// The statement in progress and those that wait.
    std::size_t waiting_bytes = 0;
    /// Session values and prepared statements.
    std::size_t kept_bytes = 0;
    /// A statement is in progress or waits.
    bool working = false;
    bool in_transaction = false;
    /// This host has rolled the transaction back, because its caller was idle for too long.
    bool transaction_expired = false;
};

} // namespace lovagemoor::proxy
