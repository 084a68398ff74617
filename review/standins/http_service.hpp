#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lovagemoor::review {

struct http_request {
    std::string method;
    std::string path;
    /// Decoded parameters of the query.
    std::map<std::string, std::string> query;
    /// Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_response {
    unsigned status = 200;
    std::string body = "{}";
    /// The response is lost. Its connection stays open and returns nothing further.
    bool lost = false;
};

/// @brief HTTP server on a free port of 127.0.0.1. Each connection has a thread of its own, so the
/// handler may wait.
class http_service {
public:
    using handler = std::function<http_response(const http_request&)>;

    explicit http_service(handler respond);

    [[nodiscard]] std::string address() const;

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket) const;

    handler respond_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
};

} // namespace lovagemoor::review
