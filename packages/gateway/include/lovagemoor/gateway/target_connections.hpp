#pragma once

#include <lovagemoor/gateway/line_stream.hpp>
#include <lovagemoor/gateway/statement_codec.hpp>
#include <lovagemoor/proxy/engine/action.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lovagemoor::gateway {

/// @brief Connections to targets.
class target_connections {
public:
    using event_sink = std::function<void(proxy::event)>;

    /// @param host Name under which this host connects.
    target_connections(boost::asio::io_context& context, std::string host, statement_codec codec,
                       event_sink sink);

    void perform(const proxy::open_target& action);
    void perform(const proxy::send_commands& action);
    void perform(const proxy::close_target& action);

    /// @brief Sends what perform() has written.
    void flush();

private:
    struct connection {
        std::shared_ptr<boost::asio::ip::tcp::socket> socket;
        std::shared_ptr<boost::asio::steady_timer> timer;
        std::shared_ptr<line_stream> stream;
        reply_assembly assembly;
        bool started = false;
    };

    void start_timeout(core::connection_id id, std::chrono::milliseconds timeout);
    void on_connected(const proxy::open_target& request);
    void on_line(core::connection_id id, std::string_view line);
    void on_started(core::connection_id id, const proxy::statement_result& result);
    void close_and_report(core::connection_id id, proxy::target_close_reason reason);

    boost::asio::io_context& context_;
    std::string host_;
    statement_codec codec_;
    event_sink sink_;
    std::map<core::connection_id, connection> connections_;
    std::set<core::connection_id> unflushed_;
};

} // namespace lovagemoor::gateway
