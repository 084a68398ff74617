#pragma once

#include <cstddef>
#include <string>

namespace lovagemoor::caller {

/// @brief Settings of the gRPC service for callers.
struct caller_settings {
    /// Address to listen on, as host:port. With port 0 the operating system assigns a free port.
    std::string listen = "127.0.0.1:0";
    /// Maximum size of a received message. gRPC rejects larger ones with RESOURCE_EXHAUSTED.
    std::size_t max_message_bytes = 16'000'000;
    /// Maximum number of batches that are queued for a caller. A call is ended when its caller
    /// reads so slowly that the queue exceeds this limit.
    std::size_t max_pending_batches = 1'000;
};

} // namespace lovagemoor::caller
