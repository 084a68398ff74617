#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lovagemoor::gateway {

/// @brief Why a stream ended.
enum class stream_end : std::uint8_t {
    /// The peer closed the connection, or the connection failed.
    closed,
    /// The peer has not acknowledged what was sent to it, or no keep-alive probe.
    timed_out,
    /// The peer sent a line that exceeds line_stream::max_line_bytes.
    too_large,
};

/// @brief What a stream holds, and since when its peer has made no progress.
struct stream_usage {
    /// Received bytes that have not been delivered as lines.
    std::size_t input_bytes = 0;
    /// Bytes of the output buffer.
    std::size_t output_bytes = 0;
    /// Time since bytes were last received, or since input was last held back. Zero unless a part
    /// of a line has arrived and the rest of it is awaited.
    std::chrono::milliseconds line_pause{0};
    /// Time since the peer last took bytes; zero if none wait to be sent.
    std::chrono::milliseconds output_pause{0};
    /// Time since the peer last sent or took bytes.
    std::chrono::milliseconds idle{0};
};

/// @brief Input of a stream that was closed before its handler saw it.
struct discarded_input {
    /// Bytes that were read. Valid during the call only.
    std::string_view bytes;
    /// Bytes that had arrived but were not read when the stream was closed.
    std::size_t unread_bytes = 0;
    /// Time between close() and the arrival of the bytes; empty for what had arrived before.
    std::optional<std::chrono::milliseconds> since_close;
};

/// @brief A TCP connection that carries lines of text, which end with CR LF. Not thread-safe: use
/// it only on the thread of its io_context.
class line_stream : public std::enable_shared_from_this<line_stream> {
public:
    /// Limit on the length of a line including its line break: the statement protocol's limit on a
    /// message.
    static constexpr std::size_t max_line_bytes = 1U << 20U;
    /// Limit on bytes that wait to be sent. Above it, the stream is closed, unless
    /// pause_input_above_limit() was called.
    static constexpr std::size_t max_unsent_bytes = 4U << 20U;
    /// Number of lines that are delivered before other connections have their turn.
    static constexpr std::size_t lines_per_turn = 32;
    /// Number of bytes that are read at a time.
    static constexpr std::size_t read_bytes = std::size_t{32} * 1024;
    /// Time for a peer to close its side after this one has been closed. Several round trips.
    static constexpr std::chrono::milliseconds linger_time{500};

    /// @brief Called for each line, without its line break. The handler may close the stream.
    using line_handler = std::function<void(std::string_view)>;
    /// @brief Called at most once, when the stream ends for a reason other than close() or abort().
    using end_handler = std::function<void(stream_end)>;

    /// @brief Called when the unsent output has exceeded max_unsent_bytes (true), and when it no
    /// longer does (false).
    using output_handler = std::function<void(bool)>;

    /// @brief Decides when the stream may read.
    struct input_gate {
        /// Asked for permission to read up to read_bytes.
        std::function<bool()> may_read;
        /// Told the number of bytes that were read.
        std::function<void(std::size_t)> on_received;
    };

    /// @param socket A connected socket.
    explicit line_stream(boost::asio::ip::tcp::socket socket);

    /// @brief Above the limit on unsent bytes, the stream shall stop reading instead of being
    /// closed. A peer that reads slowly then receives all output. One that reads nothing is
    /// disconnected by the time-outs of configure_socket(). Call it before start().
    void pause_input_above_limit(output_handler on_output_changed);

    /// @brief Asks the gate before each read. After a refusal, nothing is read until
    /// resume_input(). Call it before start().
    void set_input_gate(input_gate gate);

    /// @brief A line that exceeds the limit shall be reported to this handler instead of ending the
    /// stream. The handler must close it; the rest of the line is not stored. Call it before
    /// start().
    void set_too_large_handler(std::function<void()> on_too_large);

    /// @brief Shall be told of input that is discarded because close() was called: what had arrived
    /// before, and what arrives later. Call it before close().
    void set_discard_handler(std::function<void(const discarded_input&)> on_discarded);

    /// @brief Reads again after the gate has refused. Does nothing otherwise.
    void resume_input();

    /// @return True while the gate's refusal is in force.
    [[nodiscard]] bool input_held() const noexcept { return input_held_; }

    [[nodiscard]] stream_usage usage() const;

    /// @brief Counts the times of usage() from now on, for example after this process was stopped
    /// for a while.
    void restart_pauses();

    /// @brief Starts reading. Both handlers are called on the thread of the io_context.
    void start(line_handler on_line, end_handler on_end);

    /// @return The output buffer. Append lines to it, then call flush() to send them.
    [[nodiscard]] std::string& output() noexcept { return output_; }

    /// @brief Sends the contents of the output buffer.
    void flush();

    /// @brief Reads once and delivers what has arrived, also if the gate would refuse. Must not be
    /// called by a handler of the stream.
    /// @return True if nothing had arrived and no output waits to be sent. A close would otherwise
    /// discard statements, those included that the peer sends before it can learn of the close.
    [[nodiscard]] bool drain();

    /// @brief Closes the stream once the output buffer has been sent and the peer has closed its
    /// side, or linger_time later. Lines that arrive meanwhile are discarded. To close a connection
    /// with unread bytes resets it, and the peer would lose what it has not read.
    void close();

    /// @return False once the stream has ended and all output has been sent or discarded.
    [[nodiscard]] bool open() const noexcept { return !ended_; }

    /// @brief Closes the stream at once and discards unsent output.
    void abort();

private:
    using clock = std::chrono::steady_clock;

    void wait_readable();
    void read_available();
    /// Outcome of a read: nothing had arrived, all of it was delivered, or the input must not be
    /// read on.
    enum class receipt : std::uint8_t { nothing, delivered, stopped };

    /// Reads once and delivers what was read.
    [[nodiscard]] receipt receive();
    /// Delivers what was received, then reads on unless the input has to wait.
    void continue_input();
    /// @param bytes Bytes that follow those of input_, or all of input_.
    /// @param scanned Number of bytes in which no line ends.
    /// @return Number of bytes that were delivered.
    [[nodiscard]] std::size_t deliver_lines(std::string_view bytes, std::size_t scanned);
    /// Delivers all complete lines that may be delivered now.
    /// @param received Bytes that have just been received.
    /// @return False if the stream has ended or must not read on.
    [[nodiscard]] bool process_input(std::string_view received);
    void report_too_large();
    /// @param held Bytes that were read and not delivered.
    void report_discarded(std::string_view held);
    void discard_input();
    /// Schedules update_input().
    void post_update();
    /// Reports whether the unsent output exceeds the limit, and resumes reading if it does not.
    void update_input();

    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return output_.size() - sent_; }

    [[nodiscard]] bool must_pause() const;
    void discard_output();
    void wait_writable();
    void linger();
    void close_and_report(stream_end reason);

    boost::asio::ip::tcp::socket socket_;
    line_handler on_line_;
    end_handler on_end_;
    output_handler on_output_changed_;
    input_gate gate_;
    std::function<void()> on_too_large_;
    std::function<void(const discarded_input&)> on_discarded_;
    /// Received bytes that have not been delivered: the start of a line, and the lines that follow
    /// while the input is paused.
    std::string input_;
    /// Number of bytes at the start of input_ in which no line ends. They are not searched again.
    std::size_t scanned_ = 0;
    /// The input handler runs, and a view of input_ is in use.
    bool delivering_ = false;
    clock::time_point received_at_ = clock::now();
    clock::time_point sent_at_ = clock::now();
    std::string output_;
    /// Number of bytes at the start of output_ that have been sent.
    std::size_t sent_ = 0;
    bool writing_ = false;
    /// A wait for input is in progress.
    bool reading_ = false;
    bool input_paused_ = false;
    /// Further lines wait until other connections have had their turn.
    bool awaits_turn_ = false;
    bool input_held_ = false;
    bool update_posted_ = false;
    /// The last value given to on_output_changed_.
    bool above_limit_ = false;
    /// Writing failed.
    bool failed_ = false;
    bool closing_ = false;
    clock::time_point closed_at_;
    std::optional<boost::asio::steady_timer> linger_timer_;
    bool ended_ = false;
};

/// @brief Sets the socket options that all connections of a session host use: TCP_NODELAY, so that
/// small messages are sent at once, and keep-alive with TCP_USER_TIMEOUT, so that a connection to
/// an unreachable peer is closed.
void configure_socket(boost::asio::ip::tcp::socket& socket);

} // namespace lovagemoor::gateway
