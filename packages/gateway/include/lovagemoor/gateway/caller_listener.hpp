#pragma once

#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/gateway/statement_codec.hpp>
#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/overload/memory_budget.hpp>
#include <lovagemoor/proxy/session/session_memory.hpp>
#include <lovagemoor/proxy/session/statement_result.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::gateway {

/// @brief Limits on callers' connections.
struct caller_limits {
    /// Open connections; further ones are closed at once.
    std::size_t max_sessions = 2000;
    /// @name Times without progress after which a connection is closed
    /// @{
    /// From the connection, or from the last bytes of its first line, until the line is complete.
    std::chrono::milliseconds start_timeout{30'000};
    /// From the last bytes of a message until it is complete.
    std::chrono::milliseconds message_timeout{30'000};
    /// From the last time that the caller took a part of its answers.
    std::chrono::milliseconds answer_timeout{30'000};
    /// @}
    proxy::memory_limits memory{};
    /// With a limit on memory, a caller whose unfinished statements take more is not read until
    /// some are finished.
    std::size_t max_waiting_bytes = std::size_t{2} << 20U;
};

/// @brief Why this host closes a caller's connection, or does not accept it.
enum class caller_close_reason : std::uint8_t {
    too_many_connections,
    /// The connection was needed, and its transaction had been rolled back because it was idle.
    transaction_expired,
    start_timeout,
    message_timeout,
    answer_timeout,
    message_too_large,
    out_of_memory,
};

/// @return The name used in logs and metrics.
[[nodiscard]] const char* to_string(caller_close_reason reason) noexcept;

/// @brief Statements of a caller that are discarded because this host has closed its session.
struct discarded_statements {
    proxy::session_id session = 0;
    /// Why the session was closed.
    proxy::session_end reason = proxy::session_end::finished;
    /// Identifies the first of them; empty if none has been read.
    std::string first_id;
    /// Number of statements that were read.
    std::size_t count = 0;
    /// Bytes that had arrived but were not read when the session was closed.
    std::size_t unread_bytes = 0;
    /// Time between the close and their arrival; empty if they had arrived before.
    std::optional<std::chrono::milliseconds> since_close;
};

/// @brief What a caller_listener needs to know about the rest of the host.
struct caller_accounting {
    /// @return What is held for a session beside its connection.
    std::function<proxy::session_memory(proxy::session_id)> memory_of;
    /// @return Bytes that are held for callers but for no single session.
    std::function<std::size_t()> shared_bytes;
    /// @brief Called for each connection that is closed or not accepted.
    std::function<void(caller_close_reason)> on_closed;
    /// @brief Called for statements that get no answer because this host has closed the session.
    std::function<void(const discarded_statements&)> on_discarded;
};

/// @brief Accepts the callers' connections, decodes their lines into events for the engine, and
/// encodes the engine's answers.
class caller_listener {
public:
    using event_sink = std::function<void(proxy::event)>;

    /// @param address Address to listen on, as ip:port.
    /// @param sink Receives the events, on the thread of the io_context.
    /// @throws boost::system::system_error when the address is invalid or in use.
    caller_listener(boost::asio::io_context& context, const std::string& address,
                    caller_limits limits, statement_codec codec, event_sink sink);

    /// @return The port that this listener has been given.
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// @brief Without it, only what the connections hold is accounted for.
    void set_accounting(caller_accounting accounting);

    void perform(const proxy::accept_session& action);
    void perform(const proxy::reject_session& action);
    void perform(const proxy::answer_statement& action);
    void perform(const proxy::drain_session& action);
    void perform(const proxy::close_session& action);

    /// @brief Sends the output that perform() has buffered.
    void flush();

    /// @return True while a session that this host has closed still has output to send or waits for
    /// its caller to close its side.
    [[nodiscard]] bool closing() const;

    [[nodiscard]] std::size_t session_count() const noexcept { return callers_.size(); }

    /// @brief Notes bytes that are held for callers from now on.
    void add_memory(std::size_t bytes);

private:
    struct caller {
        std::shared_ptr<line_stream> stream;
        bool started = false;
    };

    void accept();
    /// Accepts again after accept_retry_pause.
    void retry_accept();
    void add_session(boost::asio::ip::tcp::socket socket);
    void on_line(proxy::session_id session, std::string_view line);
    void reject(proxy::session_id session, const proxy::statement_error& error);
    void end_with_error(proxy::session_id session, const proxy::statement_error& error,
                        proxy::session_end reason);
    [[nodiscard]] std::string& output_of(proxy::session_id session);
    [[nodiscard]] proxy::session_memory memory_of(proxy::session_id session) const;
    /// @return Number of descriptors in use, including those of sessions that are being closed.
    [[nodiscard]] std::size_t open_connections();
    /// Closes the connection that has been idle longest after its transaction was rolled back, if
    /// there is one.
    /// @return True if a further connection is within the limit.
    [[nodiscard]] bool make_room();
    /// @return False if the caller's input has to wait.
    [[nodiscard]] bool may_read(proxy::session_id session);
    /// Measures the memory that is held for callers, and closes some of them if necessary.
    void update_memory();
    /// Reads again from callers whose input had to wait, if the memory allows it.
    void resume_held();
    void schedule_relief();
    /// Measures the memory after the current event, if that is due.
    void post_measurement();
    void schedule_sweep();
    /// Closes connections without progress.
    void close_stalled();
    [[nodiscard]] std::optional<caller_close_reason> stalled(const caller& checked) const;
    /// Closes a connection with an error, or at once if its caller does not read what it was sent.
    void close_with(proxy::session_id session, caller_close_reason reason);
    void report_closed(caller_close_reason reason) const;
    /// Reports what the stream discards from now on with the reason for the end of its session.
    void report_discarded_input(line_stream& stream, proxy::session_id session,
                                proxy::session_end reason);
    void report_discarded(proxy::session_id session, proxy::session_end reason,
                          const discarded_input& input) const;

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    caller_limits limits_;
    statement_codec codec_;
    event_sink sink_;
    caller_accounting accounting_;
    proxy::memory_budget budget_;
    boost::asio::steady_timer relief_timer_;
    boost::asio::steady_timer sweep_timer_;
    std::chrono::steady_clock::time_point last_sweep_;
    /// Time of the last search for a connection that may be closed in favour of another one.
    std::chrono::steady_clock::time_point last_search_;
    proxy::session_id last_session_ = 0;

    std::map<proxy::session_id, caller> callers_;
    std::set<proxy::session_id> unflushed_;
    /// Sessions whose input has to wait.
    std::set<proxy::session_id> held_;
    bool relief_scheduled_ = false;
    bool measurement_posted_ = false;
    /// Streams of sessions that this host has closed.
    std::vector<std::weak_ptr<line_stream>> closing_;
    /// Receives output for sessions that are already closed.
    std::string discarded_;
};

} // namespace lovagemoor::gateway
