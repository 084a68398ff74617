#include <lovagemoor/gateway/http_client.hpp>

#include <lovagemoor/gateway/address.hpp>

#include <lovagemoor/gateway/line_stream.hpp>

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <utility>

namespace lovagemoor::gateway {

namespace http = boost::beast::http;

namespace internal {

namespace {

/// Limit on the size of a response body: a page of registry items in its encoded form.
constexpr std::uint64_t max_body_bytes = 8U << 20U;

/// Limit on the time for receiving a response, also if it keeps arriving: max_body_bytes over a
/// network link of 10 Mbit/s.
constexpr std::chrono::seconds transfer_timeout{7};

/// Limit on the time for opening a connection, also for requests with a longer timeout.
constexpr std::chrono::milliseconds connect_timeout{500};

std::map<std::string, std::string> headers_of(const http::response<http::string_body>& response) {
    std::map<std::string, std::string> headers;
    for (const http::fields::value_type& field : response) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        headers[std::move(name)] = std::string{field.value()};
    }
    return headers;
}

} // namespace

} // namespace internal

/// @brief One connection with at most one request in progress.
class http_client::connection : public std::enable_shared_from_this<connection> {
public:
    connection(http_client& owner, boost::asio::io_context& context)
        : owner_{owner}, stream_{context} {}

    /// @return A number that identifies the request on this connection.
    std::uint64_t run(http_request request, handler done) {
        done_ = std::move(done);
        ++request_number_;
        message_ = {};
        message_.version(11);
        message_.method(request.method);
        message_.target(request.target);
        message_.set(http::field::host, owner_.address_);
        for (const auto& [name, value] : request.headers) {
            message_.set(name, value);
        }
        if (!request.body.empty()) {
            message_.set(http::field::content_type, "application/json");
        }
        message_.body() = std::move(request.body);
        message_.prepare_payload();
        timeout_ = request.timeout;
        pause_timeout_ = request.pause_timeout;
        if (connected_) {
            write();
            return request_number_;
        }
        // A lost SYN packet is retransmitted only after seconds, so giving up early and opening a
        // new connection is faster.
        stream_.expires_after(std::min(timeout_, internal::connect_timeout));
        stream_.async_connect(
            parse_endpoint(owner_.address_),
            [self = shared_from_this()](const boost::system::error_code& error) {
                if (error) {
                    self->finish(http_response{http_failure::not_connected, 0, error.message()});
                    return;
                }
                self->connected_ = true;
                configure_socket(self->stream_.socket());
                self->write();
            });
        return request_number_;
    }

    bool abandon(std::uint64_t request) {
        if (request != request_number_ || !done_ || receive_until_.has_value()) {
            return false;
        }
        done_ = nullptr;
        stream_.close();
        return true;
    }

private:
    void write() {
        stream_.expires_after(timeout_);
        http::async_write(
            stream_, message_,
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                if (error) {
                    self->finish(http_response{http_failure::no_response, 0, error.message()});
                    return;
                }
                self->read();
            });
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(internal::max_body_bytes);
        parser_->eager(true);
        read_part();
    }

    void read_part() {
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                if (error) {
                    self->finish(http_response{http_failure::no_response, 0, error.message()});
                    return;
                }
                self->owner_.last_received_ = std::chrono::steady_clock::now();
                if (!self->parser_->is_done()) {
                    self->await_next_part();
                    return;
                }
                http::response<http::string_body>& received = self->parser_->get();
                self->reusable_ = received.keep_alive();
                self->finish(http_response{http_failure::none, received.result_int(),
                                           std::move(received.body()),
                                           internal::headers_of(received)});
            });
    }

    void await_next_part() {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        if (!receive_until_.has_value()) {
            receive_until_ = now + internal::transfer_timeout;
        }
        stream_.expires_at(std::min(now + pause_timeout_, *receive_until_));
        read_part();
    }

    void finish(const http_response& response) {
        receive_until_.reset();
        stream_.expires_never();
        parser_.reset();
        const handler done = std::exchange(done_, nullptr);
        if (response.failure == http_failure::none && reusable_ && done) {
            owner_.idle_.push_back(shared_from_this());
        } else {
            stream_.close();
        }
        if (done) {
            done(response);
        }
    }

    http_client& owner_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> message_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::chrono::milliseconds timeout_{0};
    std::chrono::milliseconds pause_timeout_{0};
    /// Time limit for the whole response. Empty until its first part has arrived.
    std::optional<std::chrono::steady_clock::time_point> receive_until_;
    /// Empty if no request is in progress.
    handler done_;
    std::uint64_t request_number_ = 0;
    bool connected_ = false;
    bool reusable_ = false;
};

http_client::http_client(boost::asio::io_context& context, std::string address)
    : context_{context}, address_{std::move(address)} {}

http_client::abandon_function http_client::call(http_request request, handler done) {
    std::shared_ptr<connection> chosen;
    if (idle_.empty()) {
        chosen = std::make_shared<connection>(*this, context_);
    } else {
        chosen = std::move(idle_.back());
        idle_.pop_back();
    }
    const std::uint64_t number = chosen->run(std::move(request), std::move(done));
    return [weak = std::weak_ptr<connection>{chosen}, number] {
        const std::shared_ptr<connection> used = weak.lock();
        return used != nullptr && used->abandon(number);
    };
}

} // namespace lovagemoor::gateway
