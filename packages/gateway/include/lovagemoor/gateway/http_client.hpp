#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::gateway {

struct http_request {
    boost::beast::http::verb method = boost::beast::http::verb::get;
    /// Path and query of the URL.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Time limit from the start of sending to the first bytes of the response. Opening a
    /// connection has a limit of its own.
    std::chrono::milliseconds timeout{1000};
    /// Time limit between two parts of the response. A large one takes longer than that in all
    /// over a slow network link.
    std::chrono::milliseconds pause_timeout{1000};
};

/// @brief Why a request got no response.
enum class http_failure : std::uint8_t {
    /// There is a response.
    none,
    /// The connection could not be opened, so the server has not seen the request.
    not_connected,
    /// The connection failed or timed out after that; the server may have executed the request.
    no_response,
};

struct http_response {
    http_failure failure = http_failure::none;
    /// HTTP status code; 0 if there is no response.
    unsigned status = 0;
    /// Body of the response; the error message if there is none.
    std::string body;
    /// Header values of the response, by field name in lower case.
    std::map<std::string, std::string> headers{};
};

/// @brief HTTP/1.1 client of one server. Keeps connections open between requests.
class http_client {
public:
    using handler = std::function<void(const http_response&)>;
    /// Gives a request up unless a part of its response has arrived. Returns true if it was given
    /// up; its handler is not called then.
    using abandon_function = std::function<bool()>;

    /// @param address Address of the server, as ip:port.
    http_client(boost::asio::io_context& context, std::string address);

    /// @brief Sends a request over an idle connection, or over a new one if none is idle.
    /// @param done Called exactly once, after this function has returned, unless the request is
    /// abandoned.
    abandon_function call(http_request request, handler done);

    /// @return Time at which a part of a response last arrived.
    [[nodiscard]] std::chrono::steady_clock::time_point last_received() const noexcept {
        return last_received_;
    }

private:
    class connection;

    boost::asio::io_context& context_;
    std::string address_;
    std::vector<std::shared_ptr<connection>> idle_;
    std::chrono::steady_clock::time_point last_received_;
};

} // namespace lovagemoor::gateway
