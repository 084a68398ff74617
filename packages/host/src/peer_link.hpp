#pragma once

#include <lovagemoor/host/peer_task.hpp>

#include <zmq.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>

namespace lovagemoor::host::internal {

using steady_clock = std::chrono::steady_clock;

/// @brief An encoded message to another host.
struct outgoing_message {
    std::string payload;
    bool is_data = false;
    steady_clock::time_point created;
};

/// @return The total size of a message's frames in bytes.
[[nodiscard]] std::size_t frames_size(const core::host_id& from, const core::host_id& to,
                                      std::size_t payload_size) noexcept;

/// @brief DEALER socket to one host, with a queue of messages that ZeroMQ has not accepted yet.
class peer_link {
public:
    /// @throws zmq::error_t when the address is not a valid endpoint or no socket is available.
    peer_link(zmq::context_t& context, const peer_settings& settings, core::host_id to,
              std::string address, steady_clock::time_point now);

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    [[nodiscard]] bool has_pending_messages() const noexcept { return !pending_.empty(); }

    /// @return The time at which the oldest queued message expires. Without queued messages, the
    /// time at which the idle timeout ends.
    [[nodiscard]] steady_clock::time_point next_expiry() const noexcept;

    [[nodiscard]] bool idle_at(steady_clock::time_point now) const noexcept;

    [[nodiscard]] zmq::socket_ref socket() noexcept { return socket_; }

    /// @brief Queues a message. When the queue is full, the message is dropped and counted.
    void push(outgoing_message message, peer_counters& counters);

    /// @brief Drops queued messages that have expired and sends as many others as ZeroMQ accepts.
    void flush(steady_clock::time_point now, peer_counters& counters);

    /// @brief Drops all queued messages, and lets ZeroMQ drop those that it still buffers when the
    /// socket is closed.
    void drop_messages(peer_counters& counters);

private:
    [[nodiscard]] bool send(const std::string& payload);
    void pop_pending();

    const peer_settings* settings_;
    core::host_id to_;
    std::string address_;
    zmq::socket_t socket_;
    std::deque<outgoing_message> pending_;
    std::size_t pending_bytes_ = 0;
    steady_clock::time_point last_used_;
};

} // namespace lovagemoor::host::internal
