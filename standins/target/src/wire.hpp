#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Reads and writes the messages of PostgreSQL's wire protocol, version 3, as a server.

namespace lovagemoor::standin_target {

/// @brief SQL value in text format; an empty optional is NULL.
using sql_value = std::optional<std::string>;
using sql_row = std::vector<sql_value>;

struct result_column {
    std::string name;
    std::uint32_t type_oid = 0;
};

/// @brief Message from a client; `type` is 0 during the startup phase.
struct frontend_message {
    char type = 0;
    std::string body;
};

/// @brief Parses the next complete message in `input`.
/// @param offset Start of the message; advanced to its end. Parsed input is erased in large steps.
/// @param startup True before the startup message, when messages have no type byte.
/// @return An empty optional if the message is incomplete.
/// @throw sql_error 08P01 if the length is invalid.
[[nodiscard]] std::optional<frontend_message> parse_message(std::string& input, std::size_t& offset,
                                                            bool startup);

/// @brief Reads the fields of a message body.
class body_reader {
public:
    explicit body_reader(std::string_view body) : rest_(body) {}

    [[nodiscard]] bool empty() const noexcept { return rest_.empty(); }

    [[nodiscard]] char read_byte();
    [[nodiscard]] std::uint16_t read_uint16();
    [[nodiscard]] std::uint32_t read_uint32();
    [[nodiscard]] std::string read_string();
    [[nodiscard]] std::string read_bytes(std::size_t count);

private:
    std::string_view rest_;
};

/// @brief Appends backend messages to a buffer.
class message_writer {
public:
    explicit message_writer(std::string& output) : output_(output) {}

    void write_authentication_ok();
    void write_parameter_status(std::string_view name, std::string_view value);
    void write_backend_key(std::uint32_t process_id, std::uint32_t secret);
    /// @param status I (idle), T (in a transaction block) or E (in a failed transaction block).
    void write_ready(char status);
    void write_row_description(const std::vector<result_column>& columns);
    void write_parameter_description(std::size_t count);
    void write_data_row(const sql_row& row);
    void write_command_complete(std::string_view tag);
    void write_error(std::string_view severity, std::string_view sqlstate,
                     std::string_view message);
    /// @brief Writes a message without a body, for example ParseComplete.
    void write_empty(char type);

private:
    void write_message(char type, std::string_view body);

    std::string& output_;
};

} // namespace lovagemoor::standin_target
