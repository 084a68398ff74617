#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace lovagemoor::testbed {

/// @brief TCP relay in front of a host's peer socket that can delay and cut the links to the host.
///
/// A link is identified by the source address of the connecting host.
class link_relay {
public:
    /// @brief Listens on an ephemeral port of 127.0.0.1. The destination is set later, because the
    /// host's own ephemeral port is only known after the host has started.
    /// @param delay Delay of the data in each direction.
    explicit link_relay(std::chrono::microseconds delay);
    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;
    link_relay(link_relay&&) = delete;
    link_relay& operator=(link_relay&&) = delete;
    ~link_relay();

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// @brief Sets the port on 127.0.0.1 to which connections are relayed.
    void set_destination(std::uint16_t port);

    /// @brief Cuts the links from these source addresses and restores all others. Cutting a link
    /// closes its connections, and data that is still delayed is dropped.
    void set_cut_sources(const std::set<std::string>& source_addresses);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::testbed
