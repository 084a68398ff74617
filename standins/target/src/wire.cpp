#include "wire.hpp"

#include "sql_error.hpp"

#include <utility>

namespace lovagemoor::standin_target {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_message_bytes = 64U << 20U;
constexpr std::uint32_t null_length = 0xFFFFFFFFU;
constexpr std::uint32_t text_oid = 25;

std::uint32_t decode_uint32(std::string_view bytes) {
    std::uint32_t result = 0;
    for (std::size_t index = 0; index < length_bytes; ++index) {
        result = (result << 8U) | static_cast<unsigned char>(bytes[index]);
    }
    return result;
}

void append_uint32(std::string& output, std::uint32_t value) {
    for (unsigned shift = 32; shift > 0; shift -= 8) {
        output.push_back(static_cast<char>((value >> (shift - 8U)) & 0xFFU));
    }
}

void append_uint16(std::string& output, std::size_t value) {
    output.push_back(static_cast<char>((value >> 8U) & 0xFFU));
    output.push_back(static_cast<char>(value & 0xFFU));
}

void append_string(std::string& output, std::string_view value) {
    output.append(value);
    output.push_back('\0');
}

} // namespace

std::optional<frontend_message> parse_message(std::string& input, std::size_t& offset,
                                              bool startup) {
    constexpr std::size_t erase_step = 65536;
    if (offset >= erase_step || offset == input.size()) {
        input.erase(0, std::exchange(offset, 0));
    }
    const std::string_view rest = std::string_view(input).substr(offset);
    const std::size_t header = startup ? 0 : 1;
    if (rest.size() < header + length_bytes) {
        return std::nullopt;
    }
    const std::size_t length = decode_uint32(rest.substr(header));
    if (length < length_bytes || length > max_message_bytes) {
        throw sql_error("08P01", "invalid message length");
    }
    if (rest.size() < header + length) {
        return std::nullopt;
    }
    frontend_message message;
    message.type = startup ? '\0' : rest.front();
    message.body = rest.substr(header + length_bytes, length - length_bytes);
    offset += header + length;
    return message;
}

char body_reader::read_byte() {
    return read_bytes(1).front();
}

std::uint16_t body_reader::read_uint16() {
    const std::string bytes = read_bytes(2);
    const unsigned high = static_cast<unsigned char>(bytes[0]);
    const unsigned low = static_cast<unsigned char>(bytes[1]);
    return static_cast<std::uint16_t>((high << 8U) | low);
}

std::uint32_t body_reader::read_uint32() {
    return decode_uint32(read_bytes(length_bytes));
}

std::string body_reader::read_string() {
    const std::size_t end = rest_.find('\0');
    if (end == std::string_view::npos) {
        throw sql_error("08P01", "invalid string in message");
    }
    std::string result(rest_.substr(0, end));
    rest_.remove_prefix(end + 1);
    return result;
}

std::string body_reader::read_bytes(std::size_t count) {
    if (rest_.size() < count) {
        throw sql_error("08P01", "insufficient data left in message");
    }
    std::string result(rest_.substr(0, count));
    rest_.remove_prefix(count);
    return result;
}

void message_writer::write_message(char type, std::string_view body) {
    output_.push_back(type);
    append_uint32(output_, static_cast<std::uint32_t>(body.size() + length_bytes));
    output_.append(body);
}

void message_writer::write_empty(char type) {
    write_message(type, {});
}

void message_writer::write_authentication_ok() {
    write_message('R', std::string(length_bytes, '\0'));
}

void message_writer::write_parameter_status(std::string_view name, std::string_view value) {
    std::string body;
    append_string(body, name);
    append_string(body, value);
    write_message('S', body);
}

void message_writer::write_backend_key(std::uint32_t process_id, std::uint32_t secret) {
    std::string body;
    append_uint32(body, process_id);
    append_uint32(body, secret);
    write_message('K', body);
}

void message_writer::write_ready(char status) {
    write_message('Z', std::string(1, status));
}

void message_writer::write_row_description(const std::vector<result_column>& columns) {
    constexpr std::size_t variable_length = 0xFFFF;
    std::string body;
    append_uint16(body, columns.size());
    for (const result_column& column : columns) {
        append_string(body, column.name);
        append_uint32(body, 0); // table
        append_uint16(body, 0); // attribute number
        append_uint32(body, column.type_oid);
        append_uint16(body, variable_length);
        append_uint32(body, null_length); // type modifier: none
        append_uint16(body, 0);           // text format
    }
    write_message('T', body);
}

void message_writer::write_parameter_description(std::size_t count) {
    std::string body;
    append_uint16(body, count);
    for (std::size_t index = 0; index < count; ++index) {
        append_uint32(body, text_oid);
    }
    write_message('t', body);
}

void message_writer::write_data_row(const sql_row& row) {
    std::string body;
    append_uint16(body, row.size());
    for (const sql_value& value : row) {
        if (!value) {
            append_uint32(body, null_length);
            continue;
        }
        append_uint32(body, static_cast<std::uint32_t>(value->size()));
        body.append(*value);
    }
    write_message('D', body);
}

void message_writer::write_command_complete(std::string_view tag) {
    std::string body;
    append_string(body, tag);
    write_message('C', body);
}

void message_writer::write_error(std::string_view severity, std::string_view sqlstate,
                                 std::string_view message) {
    std::string body;
    const auto append_field = [&body](char field, std::string_view value) {
        body.push_back(field);
        append_string(body, value);
    };
    append_field('S', severity);
    append_field('V', severity);
    append_field('C', sqlstate);
    append_field('M', message);
    body.push_back('\0');
    write_message('E', body);
}

} // namespace lovagemoor::standin_target
