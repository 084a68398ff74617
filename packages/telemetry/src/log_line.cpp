#include <lovagemoor/telemetry/log_line.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <string>
#include <string_view>

namespace lovagemoor::telemetry {

namespace internal {

namespace {

/// Longest value that is written in full, above those of the hosts' own texts. A caller chooses the
/// id of a statement, which has up to 1 MiB.
constexpr std::size_t max_value_bytes = 4096;

/// @return The value, or its start and its size.
std::string shortened(std::string_view value) {
    if (value.size() <= max_value_bytes) {
        return std::string{value};
    }
    std::size_t length = max_value_bytes;
    // The bytes 0x80 to 0xbf continue a character in UTF-8.
    while (length > 0 && (static_cast<unsigned char>(value[length]) & 0xc0U) == 0x80U) {
        --length;
    }
    return std::string{value.substr(0, length)} + "...[" + std::to_string(value.size()) + " bytes]";
}

bool is_control(char character) noexcept {
    const auto code = static_cast<unsigned char>(character);
    return code < 0x20 || code == 0x7f;
}

bool needs_quotes(std::string_view value) noexcept {
    if (value.empty()) {
        return true;
    }
    for (const char character : value) {
        if (is_control(character) || character == ' ' || character == '"' || character == '=' ||
            character == '\\') {
            return true;
        }
    }
    return false;
}

void append_escaped(std::string& line, char character) {
    constexpr std::string_view digits = "0123456789abcdef";
    switch (character) {
    case '"':
        line += "\\\"";
        break;
    case '\\':
        line += "\\\\";
        break;
    case '\n':
        line += "\\n";
        break;
    case '\r':
        line += "\\r";
        break;
    case '\t':
        line += "\\t";
        break;
    default:
        if (is_control(character)) {
            const auto code = static_cast<unsigned char>(character);
            line += "\\x";
            line += digits[code >> 4U];
            line += digits[code & 0xfU];
        } else {
            line += character;
        }
    }
}

void append_pair(std::string& line, std::string_view name, std::string_view value) {
    if (!line.empty()) {
        line += ' ';
    }
    line += name;
    line += '=';
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        append_escaped(line, character);
    }
    line += '"';
}

std::string format_time(std::chrono::system_clock::time_point now) {
    const std::chrono::microseconds since_epoch =
        std::chrono::floor<std::chrono::microseconds>(now.time_since_epoch());
    const std::chrono::seconds whole = std::chrono::floor<std::chrono::seconds>(since_epoch);
    const std::time_t seconds = whole.count();
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%06dZ",
                  static_cast<int>((since_epoch - whole).count()));
    return text.data();
}

} // namespace

} // namespace internal

const char* to_string(core::log_event::level value) noexcept {
    switch (value) {
    case core::log_event::level::debug:
        return "debug";
    case core::log_event::level::info:
        return "info";
    case core::log_event::level::warning:
        return "warning";
    case core::log_event::level::error:
        return "error";
    }
    return "error";
}

std::string format_log_line(const core::log_event& event, const core::host_id& host,
                            std::chrono::system_clock::time_point now) {
    std::string line;
    internal::append_pair(line, "ts", internal::format_time(now));
    internal::append_pair(line, "level", to_string(event.severity));
    internal::append_pair(line, "event", event.name);
    internal::append_pair(line, "host", host.value);
    for (const auto& [name, value] : event.fields) {
        internal::append_pair(line, name, internal::shortened(value));
    }
    return line;
}

} // namespace lovagemoor::telemetry
