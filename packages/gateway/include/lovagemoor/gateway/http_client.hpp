#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::gateway {

struct http_request {
    boost::beast::http::verb method = boost::beast::http::verb::get;
    /// Path and query.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Longest time until the complete response.
    std::chrono::milliseconds timeout{1000};
};

/// @brief Why there is no response.
enum class http_failure : std::uint8_t {
    none,
    /// Nothing was sent.
    not_connected,
    /// The request may have been executed.
    no_response,
};

struct http_response {
    http_failure failure = http_failure::none;
    /// 0 if there is no response.
    unsigned status = 0;
    std::string body;
};

/// @brief Calls one HTTP/1.1 server over persistent connections.
class http_client {
public:
    using handler = std::function<void(const http_response&)>;

    /// @param address ip:port
    http_client(boost::asio::io_context& context, std::string address);

    /// @brief Sends a request over an idle connection or a new one.
    /// @param done Called once, not before this function returns.
    void call(http_request request, handler done);

private:
    class connection;

    boost::asio::io_context& context_;
    std::string address_;
    std::vector<std::shared_ptr<connection>> idle_;
};

} // namespace lovagemoor::gateway
