#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
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
        std::map<std::string, std::string> headers = {};
    };

    using handler = std::function<response(const request&)>;

    /// @param address Address to listen on, as ip:port; port 0 takes a free port.
    /// @throws boost::system::system_error when the address is invalid or in use.
    http_server(boost::asio::io_context& context, const std::string& address, handler respond);

    /// @return The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    handler respond_;
};

} // namespace lovagemoor::gateway
