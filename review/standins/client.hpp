#pragma once

#include "record.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::review {

/// @brief The answer to a statement, as a client reads it from its connection.
struct answer {
    std::vector<std::string> rows;
    /// Empty unless the statement succeeded. "-" if the system answered it itself.
    std::string signature;
    /// Code and text of an error.
    std::string error;
    /// State and position of the READY line. Empty if the answer is incomplete.
    std::string ready;

    [[nodiscard]] bool complete() const noexcept { return !ready.empty(); }

    [[nodiscard]] bool succeeded() const noexcept { return complete() && error.empty(); }

    [[nodiscard]] bool has_code(const std::string& code) const {
        return error == code || error.starts_with(code + " ");
    }
};

/// @brief A client's session.
class client {
public:
    /// @param receive_buffer_bytes Size of the socket's receive buffer; 0 for the system's default.
    client(record& events, std::string name, std::uint16_t port, int receive_buffer_bytes = 0);

    /// @brief Sends STARTUP and waits for READY.
    /// @return False if the session was not accepted within two seconds.
    [[nodiscard]] bool start(const std::string& database);

    /// @brief Sends a statement without waiting for its answer.
    /// @return Its id.
    std::string send(const std::string& text);

    /// @brief Sends bytes as they are.
    void send_bytes(const std::string& bytes);

    /// @return The next answer on the connection. Incomplete if it does not arrive in time or the
    /// connection ends.
    [[nodiscard]] answer receive(std::chrono::milliseconds timeout);

    /// @brief Sends a statement and waits for its answer.
    answer execute(const std::string& text,
                   std::chrono::milliseconds timeout = std::chrono::seconds{5});

    /// @brief Reads up to the given number of bytes.
    /// @return The number of bytes read; 0 if the connection has ended.
    std::size_t read_bytes(std::string& received, std::size_t most,
                           std::chrono::milliseconds timeout);

    [[nodiscard]] const std::string& last_id() const noexcept { return last_id_; }

    [[nodiscard]] bool closed() const noexcept { return closed_; }

private:
    [[nodiscard]] std::optional<std::string> read_line(clock::time_point deadline);
    [[nodiscard]] bool wait_readable(clock::time_point deadline);

    record& events_;
    std::string name_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
    std::string last_id_;
    unsigned statements_ = 0;
    bool closed_ = false;
};

} // namespace lovagemoor::review
