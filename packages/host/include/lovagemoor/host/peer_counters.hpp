#pragma once

#include <cstdint>

namespace lovagemoor::host {

/// @brief Messages and their bytes, without the headers of ZMTP, TCP and IP.
struct peer_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Totals since the start of a peer_task.
struct peer_counters {
    /// @brief Membership, platform records and reports of primaries.
    /// @{
    peer_traffic sent_control;
    peer_traffic received_control;
    /// @}

    /// @brief Forwarded requests, their rows, outcomes and cancellations.
    /// @{
    peer_traffic sent_data;
    peer_traffic received_data;
    /// @}

    /// Messages that waited for a connection for too long or found a queue full.
    std::uint64_t dropped = 0;
    /// Messages to an address that is no endpoint.
    std::uint64_t invalid_addresses = 0;
    /// Messages dropped in either direction because of set_blocked().
    std::uint64_t blocked = 0;
    /// Received messages that could not be decoded.
    std::uint64_t malformed = 0;
    /// Received messages for another host, whose address this host has taken over.
    std::uint64_t misdirected = 0;
    /// Hosts to which a socket is open now.
    std::uint64_t open_links = 0;
};

} // namespace lovagemoor::host
