#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/host/fwd.hpp>
#include <lovagemoor/host/peer_counters.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>

namespace lovagemoor::host {

/// @brief Settings of a peer_task.
struct peer_settings {
    /// This host's identifier, sent with every message.
    core::host_id self;
    /// ZeroMQ endpoint to listen on; port 0 takes a free port.
    std::string bind_endpoint = "tcp://127.0.0.1:0";
    /// IP number from which connections to other hosts are made; empty lets the system choose.
    std::string source_address;
    /// Messages that ZeroMQ may hold per connection and direction.
    int high_water_mark = 256;
    /// Messages from perform() that may wait for the task's thread.
    std::size_t max_queued_messages = 20'000;
    /// Messages and bytes that may wait for one host's connection.
    std::size_t max_pending_messages = 1'000;
    std::size_t max_pending_bytes = 16'000'000;
    /// A message that waits longer for its connection is dropped. Sent late, after a partition has
    /// ended, a forwarded request could run although its deadline has passed.
    std::chrono::milliseconds max_pending_age{500};
    /// A connection whose peer acknowledges nothing for this long is closed.
    std::chrono::milliseconds unacknowledged_timeout{2'000};
    /// A connection that sends nothing for this long is closed.
    std::chrono::milliseconds idle_timeout{30'000};
    /// A larger message closes the connection that it arrives on.
    std::size_t max_message_bytes = 16'000'000;
    /// How long messages sent before the task's end may take to leave the process.
    std::chrono::milliseconds linger{200};
};

/// @brief The task cannot listen on its endpoint.
class peer_bind_error : public std::runtime_error {
public:
    /// @param endpoint The endpoint from the settings.
    /// @param reason ZeroMQ's error text.
    peer_bind_error(const std::string& endpoint, const std::string& reason);
};

/// @brief Exchanges messages with other hosts over ZeroMQ.
///
/// One thread owns a ROUTER socket, which only receives, and one DEALER socket per destination,
/// which only sends. Messages to one host arrive in order, or not at all. Each consists of the
/// frames sender, receiver and PeerMessage.
class peer_task {
public:
    /// @brief Binds the endpoint and starts the thread.
    /// @param sink Receives core::peer_received on the task's thread; must not block.
    /// @throws peer_bind_error when the endpoint is invalid or in use.
    peer_task(peer_settings settings, std::function<void(core::event)> sink);

    peer_task(const peer_task&) = delete;
    peer_task& operator=(const peer_task&) = delete;
    peer_task(peer_task&&) = delete;
    peer_task& operator=(peer_task&&) = delete;

    /// @brief Sends what is queued and stops the thread.
    ~peer_task();

    /// @return The endpoint with the port in use, for example tcp://127.0.0.1:40123.
    [[nodiscard]] const std::string& endpoint() const noexcept;

    /// @brief Sends a message, or drops and counts it. Thread-safe, never blocks. A message to this
    /// host itself goes to the sink without a connection.
    void perform(const core::send_to_peer& action);

    /// @brief Drops messages to and from these hosts; replaces the previous set. Thread-safe.
    void set_blocked(std::set<core::host_id> hosts);

    /// @return The present totals. Thread-safe.
    [[nodiscard]] peer_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::host
