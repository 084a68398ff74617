#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lovagemoor::gateway {

/// @brief HTTP/1.1 server that answers each request by calling a handler.
class http_server {
public:
    struct request {
        std::string method;
        /// Path and query of the URL.
        std::string target;
        std::string body;
        /// Header values, by field name in lower case.
        std::map<std::string, std::string> headers;
    };

    struct response {
        unsigned status = 200;
        std::string content_type = "text/plain";
        std::string body;
        /// Time to wait before the response is sent.
        std::chrono::milliseconds delay{0};
        /// Further header fields, by name.
        std::map<std::string, std::string> headers{};
    };

    using handler = std::function<response(const request&)>;

    /// @brief Limits on requests and connections.
    struct limits {
        /// A request with a larger header or body closes its connection.
        std::size_t header_bytes = std::size_t{8} * 1024;
        std::size_t body_bytes = std::size_t{1} << 20U;
        /// Open connections; 0 for no limit. A further one takes the place of the oldest one.
        std::size_t connections = 0;
        /// Time after which a connection without a complete request, or whose client does not read
        /// the response, is closed.
        std::chrono::milliseconds idle_timeout{30'000};
    };

    /// @param address Address to listen on, as ip:port; port 0 takes a free port.
    /// @throws boost::system::system_error when the address is invalid or in use.
    http_server(boost::asio::io_context& context, const std::string& address, handler respond);
    http_server(boost::asio::io_context& context, const std::string& address, handler respond,
                limits bounds);

    /// @return The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    class connection;

    void accept();
    /// Closes the oldest connections until a further one is within the limit.
    void make_room();
    /// Accepts again after accept_retry_pause.
    void retry_accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_timer_;
    handler respond_;
    limits limits_;
    /// Open connections, oldest first, and some that have ended.
    std::deque<std::weak_ptr<connection>> connections_;
};

} // namespace lovagemoor::gateway
