#include "client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

namespace lovagemoor::review {

namespace {

/// Longest part of a line that goes into the record.
constexpr std::size_t max_recorded_bytes = 200;

std::string shorten(const std::string& line) {
    return line.size() <= max_recorded_bytes ? line
                                             : line.substr(0, max_recorded_bytes) + "... (" +
                                                   std::to_string(line.size()) + " bytes)";
}

} // namespace

client::client(record& events, std::string name, std::uint16_t port, int receive_buffer_bytes)
    : events_{events}, name_{std::move(name)}, socket_{context_} {
    boost::system::error_code error;
    socket_.open(boost::asio::ip::tcp::v4(), error);
    if (receive_buffer_bytes > 0) {
        socket_.set_option(boost::asio::socket_base::receive_buffer_size{receive_buffer_bytes},
                           error);
    }
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    closed_ = static_cast<bool>(error);
    socket_.set_option(boost::asio::ip::tcp::no_delay{true}, error);
}

bool client::start(const std::string& database) {
    send_bytes("STARTUP " + database + " " + name_ + "\r\n");
    const std::optional<std::string> line = read_line(clock::now() + std::chrono::seconds{2});
    return line.has_value() && line->starts_with("READY");
}

std::string client::send(const std::string& text) {
    last_id_ = name_ + "-" + std::to_string(++statements_);
    send_bytes("QUERY " + last_id_ + " " + text + "\r\n");
    return last_id_;
}

void client::send_bytes(const std::string& bytes) {
    std::string printable;
    for (const char character : bytes) {
        printable += character == '\r'   ? std::string{"\\r"}
                     : character == '\n' ? std::string{"\\n"}
                                         : std::string{character};
    }
    events_.add(name_, "sends " + shorten(printable));
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
}

answer client::receive(std::chrono::milliseconds timeout) {
    const clock::time_point deadline = clock::now() + timeout;
    answer result;
    while (!result.complete()) {
        const std::optional<std::string> line = read_line(deadline);
        if (!line.has_value()) {
            events_.add(name_, closed_ ? "the connection ends without a complete answer"
                                       : "no complete answer in time");
            break;
        }
        events_.add(name_, "receives " + shorten(*line));
        const std::string word = line->substr(0, line->find(' '));
        const std::string rest = line->substr(std::min(word.size() + 1, line->size()));
        if (word == "DATAROW") {
            result.rows.push_back(rest);
        } else if (word == "COMPLETE") {
            result.signature = rest;
        } else if (word == "ERROR") {
            result.error = rest;
        } else if (word == "READY") {
            result.ready = rest;
        }
    }
    return result;
}

answer client::execute(const std::string& text, std::chrono::milliseconds timeout) {
    send(text);
    return receive(timeout);
}

bool client::wait_readable(clock::time_point deadline) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now()).count();
    pollfd entry{socket_.native_handle(), POLLIN, 0};
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

std::optional<std::string> client::read_line(clock::time_point deadline) {
    for (;;) {
        const std::size_t end = received_.find("\r\n");
        if (end != std::string::npos) {
            std::string line = received_.substr(0, end);
            received_.erase(0, end + 2);
            return line;
        }
        if (closed_ || !wait_readable(deadline)) {
            return std::nullopt;
        }
        std::array<char, 65536> buffer{};
        boost::system::error_code error;
        const std::size_t length = socket_.read_some(boost::asio::buffer(buffer), error);
        closed_ = static_cast<bool>(error);
        received_.append(buffer.data(), length);
    }
}

std::size_t client::read_bytes(std::string& received, std::size_t most,
                               std::chrono::milliseconds timeout) {
    if (closed_ || !wait_readable(clock::now() + timeout)) {
        return 0;
    }
    std::string buffer(most, '\0');
    boost::system::error_code error;
    const std::size_t length = socket_.read_some(boost::asio::buffer(buffer), error);
    closed_ = static_cast<bool>(error);
    received.append(buffer.data(), length);
    return length;
}

} // namespace lovagemoor::review
