#pragma once

#include <cstdint>

namespace lovagemoor::host {

/// @brief Number of messages and their total size in bytes. The size excludes the headers of ZMTP,
/// TCP and IP.
struct peer_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Counters of a peer_task. All except open_links count from the start of the task.
struct peer_counters {
    /// @brief Control traffic: membership messages, platform records and reports of primaries.
    /// @{
    peer_traffic sent_control;
    peer_traffic received_control;
    /// @}

    /// @brief Data traffic: forwarded requests with their rows, outcomes and cancellations.
    /// @{
    peer_traffic sent_data;
    peer_traffic received_data;
    /// @}

    /// Outgoing messages dropped because a queue was full, the connection was not established in
    /// time, the host's address changed or no socket was available.
    std::uint64_t dropped = 0;
    /// Outgoing messages dropped because their address is not a valid ZeroMQ endpoint.
    std::uint64_t invalid_addresses = 0;
    /// Messages dropped in either direction because set_blocked() names their sender or receiver.
    std::uint64_t blocked = 0;
    /// Received messages that could not be decoded or that name no sender.
    std::uint64_t malformed = 0;
    /// Received messages that name another host as their receiver, because this host now uses
    /// that host's former address.
    std::uint64_t misdirected = 0;
    /// Number of hosts to which a socket is currently open.
    std::uint64_t open_links = 0;
};

} // namespace lovagemoor::host
