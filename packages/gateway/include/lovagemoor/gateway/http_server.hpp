#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace lovagemoor::gateway {

/// @brief Answers GET requests of the load balancer and of metrics collectors.
class http_server {
public:
    struct answer {
        unsigned status = 200;
        std::string content_type = "text/plain";
        std::string body;
    };

    /// @brief Answers a path.
    using handler = std::function<answer(const std::string& path)>;

    /// @param address ip:port
    /// @throws boost::system::system_error when the address is in use.
    http_server(boost::asio::io_context& context, const std::string& address, handler answer_path);

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    handler answer_path_;
};

} // namespace lovagemoor::gateway
