#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/settings/host_settings.hpp>

#include <boost/outcome/try.hpp>

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

/// @file
/// @brief Functions that parse single values. Their errors have a kind and a reason; the calling
/// function adds file, section and key.

namespace lovagemoor::settings::internal {

[[nodiscard]] settings_error value_error(settings_error_kind kind, std::string reason);

/// @brief Parses a text that consists of a number and nothing else.
template <typename Number>
requires std::integral<Number> || std::floating_point<Number>

[[nodiscard]] result<Number> parse_number(std::string_view text) {
    Number number{};
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec == std::errc::result_out_of_range) {
        return value_error(settings_error_kind::out_of_range, std::string{text} + " is too large");
    }
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return value_error(settings_error_kind::wrong_type,
                           "\"" + std::string{text} + "\" is not a number");
    }
    return number;
}

/// @param range The limits as text, for the error message.
template <typename Number>
[[nodiscard]] result<Number> parse_in_range(const std::string& text, Number lowest, Number highest,
                                            const std::string& range) {
    BOOST_OUTCOME_TRY(number, parse_number<Number>(text));
    if (!(number >= lowest && number <= highest)) {
        return value_error(settings_error_kind::out_of_range, text + " is not from " + range);
    }
    return number;
}

/// @brief Accepts 1 to 64 letters, digits, '.', '_' and '-'. These need no escaping in the
/// platform's keys or in lists.
[[nodiscard]] result<std::string> parse_name(const std::string& text);

/// @brief Accepts an IPv4 or IPv6 address without brackets.
[[nodiscard]] result<std::string> parse_ip(const std::string& text);

/// @brief Accepts ip:port, with an IPv6 address in brackets.
/// @param allow_any_port True to accept port 0, with which a listening socket gets a free port.
[[nodiscard]] result<std::string> parse_address(const std::string& text, bool allow_any_port);

/// @brief Accepts tcp://ip:port.
[[nodiscard]] result<std::string> parse_endpoint(const std::string& text, bool allow_any_port);

/// @brief Accepts id@tcp://ip:port.
[[nodiscard]] result<seed_host> parse_seed(const std::string& text);

[[nodiscard]] result<core::log_event::level> parse_level(const std::string& text);

/// @return The elements of a comma-separated list without surrounding blanks; none for an empty
/// text.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

} // namespace lovagemoor::settings::internal
