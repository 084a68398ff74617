#include <lovagemoor/gateway/http_server.hpp>

#include <lovagemoor/gateway/address.hpp>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace lovagemoor::gateway {

namespace http = boost::beast::http;

/// @brief A connection that is served one request at a time.
class http_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, handler respond, const limits& bounds)
        : stream_{std::move(socket)},
          timer_{stream_.get_executor()},
          respond_{std::move(respond)},
          limits_{bounds},
          buffer_{bounds.header_bytes + bounds.body_bytes} {}

    void read() {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
        parser_->body_limit(limits_.body_bytes);
        stream_.expires_after(limits_.idle_timeout);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                if (!error) {
                    self->respond();
                }
            });
    }

    void close() {
        timer_.cancel();
        stream_.close();
    }

private:
    void respond() {
        const http::request<http::string_body>& request = parser_->get();
        http_server::request decoded{std::string{request.method_string()},
                                     std::string{request.target()},
                                     request.body(),
                                     {}};
        for (const auto& field : request) {
            decoded.headers[boost::algorithm::to_lower_copy(std::string{field.name_string()})] =
                std::string{field.value()};
        }
        const http_server::response response = respond_(decoded);
        if (response.delay.count() == 0) {
            write(response);
            return;
        }
        timer_.expires_after(response.delay);
        timer_.async_wait(
            [self = shared_from_this(), response](const boost::system::error_code& error) {
                if (!error) {
                    self->write(response);
                }
            });
    }

    void write(const http_server::response& response) {
        const http::request<http::string_body>& request = parser_->get();
        response_ = {};
        response_.version(request.version());
        response_.result(response.status);
        response_.set(http::field::content_type, response.content_type);
        for (const auto& [name, value] : response.headers) {
            response_.set(name, value);
        }
        response_.keep_alive(request.keep_alive());
        response_.body() = response.body;
        response_.prepare_payload();
        stream_.expires_after(limits_.idle_timeout);
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                if (!error && self->response_.keep_alive()) {
                    self->read();
                }
            });
    }

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer timer_;
    handler respond_;
    limits limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

http_server::http_server(boost::asio::io_context& context, const std::string& address,
                         handler respond)
    : http_server{context, address, std::move(respond), limits{}} {}

http_server::http_server(boost::asio::io_context& context, const std::string& address,
                         handler respond, limits bounds)
    : acceptor_{context, parse_endpoint(address)},
      retry_timer_{context},
      respond_{std::move(respond)},
      limits_{bounds} {
    accept();
}

void http_server::make_room() {
    std::erase_if(connections_,
                  [](const std::weak_ptr<connection>& open) { return open.expired(); });
    while (limits_.connections > 0 && connections_.size() >= limits_.connections) {
        // A probe that has just connected is answered, whatever a crowd does.
        if (const std::shared_ptr<connection> oldest = connections_.front().lock()) {
            oldest->close();
        }
        connections_.pop_front();
    }
}

void http_server::accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                retry_accept();
                return;
            }
            make_room();
            const std::shared_ptr<connection> accepted =
                std::make_shared<connection>(std::move(socket), respond_, limits_);
            connections_.push_back(accepted);
            accepted->read();
            accept();
        });
}

void http_server::retry_accept() {
    retry_timer_.expires_after(accept_retry_pause);
    retry_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            accept();
        }
    });
}

} // namespace lovagemoor::gateway
