#include "stored_answer.hpp"

#include <stored_answer.pb.h>

#include <charconv>
#include <utility>

namespace lovagemoor::target::internal {

namespace {

constexpr std::size_t digits_per_byte = 2;
constexpr unsigned bits_per_digit = 4;

std::string to_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * digits_per_byte);
    for (const char byte : bytes) {
        const unsigned value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> bits_per_digit]);
        text.push_back(digits[value & 0xFU]);
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view text) {
    constexpr int base = 16;
    if (text.size() % digits_per_byte != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / digits_per_byte);
    for (std::size_t index = 0; index < text.size(); index += digits_per_byte) {
        const char* first = text.data() + index;
        unsigned value = 0;
        const std::from_chars_result parsed =
            std::from_chars(first, first + digits_per_byte, value, base);
        if (parsed.ec != std::errc{} || parsed.ptr != first + digits_per_byte) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

} // namespace

std::string encode_answer(const stored_answer& answer) {
    v1::StoredAnswer message;
    message.set_affected_rows(answer.affected_rows);
    caller::v1::RowBatch& batch = *message.mutable_result();
    for (const std::string& column : answer.result.columns) {
        batch.add_columns(column);
    }
    for (const core::row& row : answer.result.rows) {
        caller::v1::Row& encoded = *batch.add_rows();
        for (const core::sql_value& value : row) {
            caller::v1::Value& target = *encoded.add_values();
            target.set_is_null(!value.has_value());
            target.set_text(value.value_or(std::string()));
        }
    }
    return to_hex(message.SerializeAsString());
}

std::optional<stored_answer> decode_answer(std::string_view text) {
    const std::optional<std::string> bytes = from_hex(text);
    v1::StoredAnswer message;
    if (!bytes || !message.ParseFromString(*bytes)) {
        return std::nullopt;
    }
    stored_answer answer;
    answer.affected_rows = message.affected_rows();
    const caller::v1::RowBatch& batch = message.result();
    answer.result.columns.assign(batch.columns().begin(), batch.columns().end());
    answer.result.rows.reserve(static_cast<std::size_t>(batch.rows_size()));
    for (const caller::v1::Row& encoded : batch.rows()) {
        core::row& row = answer.result.rows.emplace_back();
        for (const caller::v1::Value& value : encoded.values()) {
            row.push_back(value.is_null() ? core::sql_value{} : core::sql_value(value.text()));
        }
    }
    return answer;
}

std::size_t byte_size(const core::row& row) noexcept {
    std::size_t bytes = 0;
    for (const core::sql_value& value : row) {
        bytes += value ? value->size() : 0;
    }
    return bytes;
}

} // namespace lovagemoor::target::internal
