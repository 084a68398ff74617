#pragma once

#include <lovagemoor/core/ids.hpp>

#include <link.pb.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace lovagemoor::link {

using frame = v1::Frame;

/// @brief Identifies a connection to another host within this process.
using channel_id = std::uint64_t;

/// @brief Why a channel ended.
enum class close_reason : std::uint8_t {
    /// The connection was refused, or its address is not ip:port.
    refused,
    /// The other host did not answer in time.
    timed_out,
    /// The other host closed the connection, or it failed.
    closed,
    /// The other host sent something else than the frames of this protocol.
    malformed,
    /// The other host did not read what was sent to it.
    output_limit,
    /// The channel was not used for link_settings::idle_timeout.
    idle,
};

/// @return The name used in logs and metrics.
[[nodiscard]] const char* to_string(close_reason reason) noexcept;

enum class transfer_direction : std::uint8_t { sent, received };

struct link_settings {
    core::host_id self;
    /// Address to listen on, as ip:port.
    std::string listen_address;
    /// Hosts of a deployment answer within a few milliseconds.
    std::chrono::milliseconds connect_timeout{400};
    /// Time for the first frame of the other host.
    std::chrono::milliseconds hello_timeout{2000};
    /// Time without input, while answers are expected, after which the other host is asked for a
    /// sign of life.
    std::chrono::milliseconds ping_after{250};
    /// Time without input, while answers are expected, after which the channel is closed. A host
    /// that is slowed down five times answers a ping within 200 ms.
    std::chrono::milliseconds silence_limit{1000};
    std::chrono::milliseconds idle_timeout{30000};
    /// Limit on a received frame: a message of 1 MiB and its envelope.
    std::size_t max_frame_bytes = (std::size_t{1} << 20U) + (std::size_t{256} << 10U);
    /// Limit on the bytes of a channel that wait to be sent.
    std::size_t max_unsent_bytes = std::size_t{4} << 20U;
    /// Limit on the channels that other hosts have opened. A fleet has a few hundred hosts.
    std::size_t max_accepted = 1024;
};

/// @brief Functions that the owner of a host_link provides. They run on the thread of the
/// io_context and may call the link.
struct link_handlers {
    /// @brief The other host has identified itself.
    std::function<void(channel_id, const core::host_id& peer, bool accepted)> on_open;
    /// @brief A frame arrived on an open channel.
    std::function<void(channel_id, const frame&)> on_frame;
    /// @brief A channel that was dialled or reported as open has ended. Called once for each, never
    /// from within a function of the link, and not for channels that close() has ended.
    std::function<void(channel_id, close_reason)> on_closed;
    /// @brief A frame was appended to the output of a channel, or arrived. May be empty.
    std::function<void(channel_id, frame::BodyCase kind, transfer_direction, std::size_t bytes)>
        on_transfer{};
};

/// @brief Exchanges frames with other hosts over TCP. Not thread-safe: use it only on the thread of
/// its io_context.
class host_link {
public:
    /// @throws boost::system::system_error if the address is invalid or in use.
    host_link(boost::asio::io_context& context, link_settings settings, link_handlers handlers);
    ~host_link();

    host_link(const host_link&) = delete;
    host_link& operator=(const host_link&) = delete;
    host_link(host_link&&) = delete;
    host_link& operator=(host_link&&) = delete;

    /// @brief Opens a channel. Frames may be sent at once; they wait until it is open.
    /// @param address Address of the other host's link, as ip:port.
    [[nodiscard]] channel_id dial(const std::string& address);

    /// @brief Appends a frame to the output of a channel. Does nothing if the channel has ended.
    void send(channel_id channel, const frame& message);

    /// @brief Sends the output of all channels.
    void flush();

    /// @brief Ends a channel without a call of on_closed.
    void close(channel_id channel);

    /// @brief Sets whether answers are outstanding. While they are, a silent channel is closed.
    void expect_answers(channel_id channel, bool expected);

    /// @return Bytes of all channels that wait to be sent.
    [[nodiscard]] std::size_t unsent_bytes() const;

    /// @return The port on which the link listens.
    [[nodiscard]] std::uint16_t port() const;

    /// @return Number of channels, including those that are being opened.
    [[nodiscard]] std::size_t channel_count() const noexcept { return channels_.size(); }

private:
    struct channel;

    void accept();
    channel& add_channel(boost::asio::ip::tcp::socket socket, bool accepted);
    void start(channel& opened);
    void wait_readable(const std::shared_ptr<channel>& source);
    void read_available(const std::shared_ptr<channel>& source);
    /// @return False if the channel has ended.
    [[nodiscard]] bool deliver_frames(const std::shared_ptr<channel>& source);
    [[nodiscard]] bool on_message(const std::shared_ptr<channel>& source, const frame& message);
    void write_output(const std::shared_ptr<channel>& target);
    void append(channel& target, const frame& message);
    void fail(const std::shared_ptr<channel>& ended, close_reason reason);
    void schedule_check();
    void check_channels();

    boost::asio::io_context& context_;
    link_settings settings_;
    link_handlers handlers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer check_timer_;
    boost::asio::steady_timer accept_timer_;
    bool check_scheduled_ = false;
    channel_id last_channel_ = 0;
    std::size_t accepted_count_ = 0;
    std::unordered_map<channel_id, std::shared_ptr<channel>> channels_;
    std::set<channel_id> unflushed_;
};

} // namespace lovagemoor::link
