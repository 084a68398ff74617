#include "value_parser.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/outcome/try.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::settings::internal {

namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::string_view endpoint_scheme = "tcp://";

bool is_name_character(char character) noexcept {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '.' || character == '_' ||
           character == '-';
}

settings_error wrong_type_error(const std::string& text, const std::string& expected) {
    return value_error(settings_error_kind::wrong_type, "\"" + text + "\" is not " + expected);
}

/// @return The IP address without the brackets that IPv6 needs; empty if they are missing or
/// misplaced.
std::string strip_brackets(const std::string& text) {
    const bool is_v6 = text.find(':') != std::string::npos;
    const bool has_brackets = text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (is_v6 != has_brackets) {
        return {};
    }
    return has_brackets ? text.substr(1, text.size() - 2) : text;
}

std::string_view trim_blanks(std::string_view text) noexcept {
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

settings_error value_error(settings_error_kind kind, std::string reason) {
    settings_error error;
    error.kind = kind;
    error.reason = std::move(reason);
    return error;
}

result<std::string> parse_name(const std::string& text) {
    if (text.size() > max_name_length ||
        !std::all_of(text.begin(), text.end(), is_name_character)) {
        return wrong_type_error(text, "a name of at most 64 letters, digits, '.', '_' and '-'");
    }
    return text;
}

result<std::string> parse_ip(const std::string& text) {
    boost::system::error_code invalid;
    boost::asio::ip::make_address(text, invalid);
    if (invalid) {
        return wrong_type_error(text, "an IP address");
    }
    return text;
}

result<std::string> parse_address(const std::string& text, bool allow_any_port) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return wrong_type_error(text, "ip:port");
    }
    boost::system::error_code invalid;
    boost::asio::ip::make_address(strip_brackets(text.substr(0, colon)), invalid);
    if (invalid) {
        return wrong_type_error(text, "ip:port");
    }
    BOOST_OUTCOME_TRY(port, parse_number<std::uint16_t>(std::string_view{text}.substr(colon + 1)));
    if (port == 0 && !allow_any_port) {
        return value_error(settings_error_kind::out_of_range,
                           "\"" + text + "\" does not have a port from 1 to 65535");
    }
    return text;
}

result<std::string> parse_endpoint(const std::string& text, bool allow_any_port) {
    if (!text.starts_with(endpoint_scheme)) {
        return wrong_type_error(text, "tcp://ip:port");
    }
    BOOST_OUTCOME_TRY(parse_address(text.substr(endpoint_scheme.size()), allow_any_port));
    return text;
}

result<seed_host> parse_seed(const std::string& text) {
    const std::size_t separator = text.find('@');
    if (separator == std::string::npos || separator == 0) {
        return wrong_type_error(text, "id@tcp://ip:port");
    }
    BOOST_OUTCOME_TRY(id, parse_name(text.substr(0, separator)));
    BOOST_OUTCOME_TRY(endpoint, parse_endpoint(text.substr(separator + 1), false));
    return seed_host{{std::move(id)}, std::move(endpoint)};
}

result<core::log_event::level> parse_level(const std::string& text) {
    if (text == "debug") {
        return core::log_event::level::debug;
    }
    if (text == "info") {
        return core::log_event::level::info;
    }
    if (text == "warning") {
        return core::log_event::level::warning;
    }
    if (text == "error") {
        return core::log_event::level::error;
    }
    return wrong_type_error(text, "debug, info, warning or error");
}

std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> parts;
    if (trim_blanks(text).empty()) {
        return parts;
    }
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        parts.emplace_back(trim_blanks(text.substr(start, comma - start)));
        start = comma + 1;
    }
    return parts;
}

} // namespace lovagemoor::settings::internal
