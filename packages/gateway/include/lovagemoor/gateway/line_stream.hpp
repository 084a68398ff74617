#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lovagemoor::gateway {

/// @brief Why a stream ended.
enum class stream_end : std::uint8_t {
    /// The peer closed it, or it broke.
    closed,
    /// A line is longer than the limit, or the peer does not read.
    too_large,
};

/// @brief A TCP connection that carries lines. Belongs to the thread of its io_context.
class line_stream : public std::enable_shared_from_this<line_stream> {
public:
    /// Longest line, its end included; the statement protocol's limit on a message.
    static constexpr std::size_t max_line_bytes = 1U << 20U;
    /// Most bytes that wait for a peer that does not read.
    static constexpr std::size_t max_unsent_bytes = 4U << 20U;

    /// @brief Receives a line without its end. May close the stream.
    using line_handler = std::function<void(std::string_view)>;
    /// @brief Called once when the peer ends the stream; not after close() or abort().
    using end_handler = std::function<void(stream_end)>;

    /// @param socket Connected.
    explicit line_stream(boost::asio::ip::tcp::socket socket);

    /// @brief Begins to read.
    void start(line_handler on_line, end_handler on_end);

    /// @brief Appends to the output; flush() sends it.
    /// @return The output buffer.
    [[nodiscard]] std::string& output() noexcept { return output_; }

    /// @brief Sends what is in the output buffer.
    void flush();

    /// @brief Closes the stream after the output is sent.
    void close();

    /// @brief Closes the stream now.
    void abort();

private:
    void wait_readable();
    void read_available();
    [[nodiscard]] bool deliver_lines(std::string_view bytes);
    void wait_writable();
    void close_and_report(stream_end reason);

    boost::asio::ip::tcp::socket socket_;
    line_handler on_line_;
    end_handler on_end_;
    std::string partial_;
    std::string output_;
    bool writing_ = false;
    bool closing_ = false;
    bool ended_ = false;
};

/// @brief Sets the options of all connections of this host: no delay of small messages, and an end
/// of connections whose peer is unreachable.
void configure_socket(boost::asio::ip::tcp::socket& socket);

} // namespace lovagemoor::gateway
