#pragma once

#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/gateway/statement_codec.hpp>
#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/session/statement_result.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::gateway {

/// @brief Accepts the callers' connections, decodes their lines into events for the engine, and
/// encodes the engine's answers.
class caller_listener {
public:
    using event_sink = std::function<void(proxy::event)>;

    /// @param address Address to listen on, as ip:port.
    /// @param max_sessions Limit on open sessions; further connections are closed at once.
    /// @param sink Receives the events, on the thread of the io_context.
    /// @throws boost::system::system_error when the address is invalid or in use.
    caller_listener(boost::asio::io_context& context, const std::string& address,
                    std::size_t max_sessions, statement_codec codec, event_sink sink);

    void perform(const proxy::accept_session& action);
    void perform(const proxy::reject_session& action);
    void perform(const proxy::answer_statement& action);
    void perform(const proxy::close_session& action);

    /// @brief Sends the output that perform() has buffered.
    void flush();

    /// @return True while a session that this host has closed still has output to send or waits for
    /// its caller to close its side.
    [[nodiscard]] bool closing() const;

    [[nodiscard]] std::size_t session_count() const noexcept { return callers_.size(); }

private:
    void accept();
    /// Accepts again after accept_retry_pause.
    void retry_accept();
    void add_session(boost::asio::ip::tcp::socket socket);
    void on_line(proxy::session_id session, std::string_view line);
    void reject(proxy::session_id session, proxy::statement_error error);
    [[nodiscard]] std::string& output_of(proxy::session_id session);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    std::size_t max_sessions_;
    statement_codec codec_;
    event_sink sink_;
    proxy::session_id last_session_ = 0;

    struct caller {
        std::shared_ptr<line_stream> stream;
        bool started = false;
    };

    std::map<proxy::session_id, caller> callers_;
    std::set<proxy::session_id> unflushed_;
    /// Streams of sessions that this host has closed.
    std::vector<std::weak_ptr<line_stream>> closing_;
    /// Receives output for sessions that are already closed.
    std::string discarded_;
};

} // namespace lovagemoor::gateway
