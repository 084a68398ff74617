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
    /// Identifier of this host, which is sent with every message.
    core::host_id self;
    /// ZeroMQ endpoint to listen on. With port 0 the operating system assigns a free port.
    std::string bind_endpoint = "tcp://127.0.0.1:0";
    /// Local IP address of outgoing connections. When it is empty, the operating system chooses.
    std::string source_address;
    /// Maximum number of messages that ZeroMQ buffers per connection and direction.
    int high_water_mark = 256;
    /// Maximum number of messages that perform() queues for the task's thread.
    std::size_t max_queued_messages = 20'000;
    /// Maximum number of messages, and of their bytes, that are queued for one host.
    std::size_t max_pending_messages = 1'000;
    std::size_t max_pending_bytes = 16'000'000;
    /// A message that has been queued for this long is dropped. If it were sent after a network
    /// partition had ended, a forwarded request could run although its deadline has passed.
    std::chrono::milliseconds max_pending_age{500};
    /// A connection is closed when its peer leaves sent data unacknowledged for this long.
    std::chrono::milliseconds unacknowledged_timeout{2'000};
    /// A socket that has had nothing to send for this long is closed.
    std::chrono::milliseconds idle_timeout{30'000};
    /// Maximum size of a received message. A larger one closes its connection.
    std::size_t max_message_bytes = 16'000'000;
    /// Maximum time for which the task's destructor waits until ZeroMQ has sent its messages.
    std::chrono::milliseconds linger{200};
};

/// @brief Thrown when a peer_task cannot listen on its endpoint.
class peer_bind_error : public std::runtime_error {
public:
    /// @param endpoint The endpoint from the settings.
    /// @param reason The error message of ZeroMQ.
    peer_bind_error(const std::string& endpoint, const std::string& reason);
};

/// @brief Exchanges messages with other hosts over ZeroMQ.
///
/// One thread owns a ROUTER socket, which only receives, and one DEALER socket per destination,
/// which only sends. Messages to one host arrive in order, but some may be lost. Each message
/// consists of three frames: the sender, the receiver and the PeerMessage.
class peer_task {
public:
    /// @brief Binds the endpoint and starts the thread.
    /// @param sink Is called with core::peer_received on the task's thread and must not block.
    /// @throws peer_bind_error when the endpoint is invalid or in use.
    peer_task(peer_settings settings, std::function<void(core::event)> sink);

    peer_task(const peer_task&) = delete;
    peer_task& operator=(const peer_task&) = delete;
    peer_task(peer_task&&) = delete;
    peer_task& operator=(peer_task&&) = delete;

    /// @brief Sends the queued messages and stops the thread. Waits no longer than
    /// peer_settings::linger for ZeroMQ to send them.
    ~peer_task();

    /// @return The endpoint with the port in use, for example tcp://127.0.0.1:40123.
    [[nodiscard]] const std::string& endpoint() const noexcept;

    /// @brief Queues a message for sending. A message that cannot be sent is dropped and counted. A
    /// message to this host itself is passed to the sink without a connection. Thread-safe; never
    /// blocks.
    void perform(const core::send_to_peer& action);

    /// @brief Drops all later messages to and from these hosts. Each call replaces the previous
    /// set. Thread-safe.
    void set_blocked(std::set<core::host_id> hosts);

    /// @return A copy of the current counters. Thread-safe.
    [[nodiscard]] peer_counters counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::host
