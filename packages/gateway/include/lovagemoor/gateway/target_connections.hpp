#pragma once

#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/gateway/statement_codec.hpp>
#include <lovagemoor/proxy/engine/action.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lovagemoor::gateway {

/// @brief Limits on what targets send.
struct answer_limits {
    /// Rows of one answer. The caller gets an error instead of a larger one.
    std::size_t answer_bytes = std::size_t{64} << 20U;
    /// Rows of all incomplete answers; 0 for no limit. The largest one is given up if it is
    /// exceeded.
    std::size_t total_bytes = 0;
};

/// @brief Opens connections to targets, sends the engine's commands over them, and decodes the
/// targets' replies into events for the engine.
class target_connections {
public:
    using event_sink = std::function<void(proxy::event)>;

    /// @param host Name that this host gives to the targets.
    /// @param sink Receives the events, on the thread of the io_context.
    target_connections(boost::asio::io_context& context, std::string host, statement_codec codec,
                       event_sink sink, answer_limits limits = {});

    /// @param on_rows Told the size of each row that is kept.
    void set_row_observer(std::function<void(std::size_t)> on_rows);

    /// @return Bytes that the incomplete answers take, and those that the largest one takes in
    /// addition once it is complete: it is copied when it is passed on, and again when it is
    /// encoded.
    [[nodiscard]] std::size_t required_bytes() const;

    void perform(const proxy::open_target& action);
    void perform(const proxy::send_commands& action);
    void perform(const proxy::close_target& action);

    /// @brief Sends the commands that perform() has buffered.
    void flush();

private:
    struct connection {
        /// Null once the socket is connected; the stream owns it then.
        std::shared_ptr<boost::asio::ip::tcp::socket> socket;
        /// Limits the wait for the connection, then the one for the greeting.
        std::shared_ptr<boost::asio::steady_timer> timer;
        std::shared_ptr<line_stream> stream;
        reply_assembly assembly;
        /// Size of the rows in the assembly.
        std::size_t answer_bytes = 0;
        /// The answer exceeds a limit. Its rows are dropped.
        bool too_large = false;
        /// True once the target has sent its greeting.
        bool started = false;
    };

    void start_timeout(core::connection_id id, std::chrono::milliseconds timeout);
    void on_connected(const proxy::open_target& request);
    void on_line(core::connection_id id, std::string_view line);
    /// Accounts for a row, and gives up an answer if a limit is exceeded.
    void add_row(connection& source, std::size_t bytes);
    void drop_rows(connection& source);
    void on_started(core::connection_id id, const proxy::statement_result& result);
    void close_and_report(core::connection_id id, proxy::target_close_reason reason);

    boost::asio::io_context& context_;
    std::string host_;
    statement_codec codec_;
    event_sink sink_;
    answer_limits limits_;
    std::function<void(std::size_t)> on_rows_;
    std::size_t answer_bytes_ = 0;
    std::map<core::connection_id, connection> connections_;
    std::set<core::connection_id> unflushed_;
};

} // namespace lovagemoor::gateway
