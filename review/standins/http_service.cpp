#include "http_service.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <thread>
#include <utility>

namespace lovagemoor::review {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

std::string decode_percent(std::string_view text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded +=
                static_cast<char>(std::stoi(std::string{text.substr(index + 1, 2)}, nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

http_request decode(const http::request<http::string_body>& message) {
    http_request decoded;
    decoded.method = std::string{message.method_string()};
    decoded.body = message.body();
    std::string target{message.target()};
    const std::size_t mark = target.find('?');
    decoded.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string parameter = rest.substr(0, end);
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        decoded.query[parameter.substr(0, equals)] =
            equals < parameter.size() ? decode_percent(parameter.substr(equals + 1))
                                      : std::string{};
        rest.erase(0, std::min(end + 1, rest.size()));
    }
    for (const auto& field : message) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        decoded.headers[name] = std::string{field.value()};
    }
    return decoded;
}

} // namespace

http_service::http_service(handler respond)
    : respond_{std::move(respond)},
      acceptor_{context_, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}},
      port_{acceptor_.local_endpoint().port()} {
    std::thread{[this] { accept(); }}.detach();
}

std::string http_service::address() const {
    return "127.0.0.1:" + std::to_string(port_);
}

void http_service::accept() {
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket{context_};
        acceptor_.accept(socket, error);
        if (!error) {
            std::thread{[this, accepted = std::move(socket)]() mutable {
                serve(std::move(accepted));
            }}.detach();
        }
    }
}

void http_service::serve(tcp::socket socket) const {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (;;) {
        http::request<http::string_body> message;
        http::read(socket, buffer, message, error);
        if (error) {
            return;
        }
        const http_response response = respond_(decode(message));
        while (response.lost && !error) {
            buffer.clear();
            http::read(socket, buffer, message, error);
        }
        if (error) {
            return;
        }
        http::response<http::string_body> reply{static_cast<http::status>(response.status), 11};
        reply.set(http::field::content_type, "application/json");
        reply.keep_alive(message.keep_alive());
        reply.body() = response.body;
        reply.prepare_payload();
        http::write(socket, reply, error);
        if (error || !message.keep_alive()) {
            return;
        }
    }
}

} // namespace lovagemoor::review
