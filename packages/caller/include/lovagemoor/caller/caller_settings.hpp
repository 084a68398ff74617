#pragma once

#include <cstddef>
#include <string>

namespace lovagemoor::caller {

/// @brief Settings of the service for callers.
struct caller_settings {
    /// Address to listen on, host:port; port 0 takes an ephemeral port.
    std::string listen = "127.0.0.1:0";
    /// Larger messages are rejected by gRPC with RESOURCE_EXHAUSTED.
    std::size_t max_message_bytes = 16'000'000;
    /// Calls whose answers a slow caller does not read are ended above this many waiting batches.
    std::size_t max_pending_batches = 1'000;
};

} // namespace lovagemoor::caller
