#pragma once

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <string>

namespace lovagemoor::settings {

/// @brief Kinds of errors in a settings file.
enum class settings_error_kind : std::uint8_t {
    /// The file cannot be read.
    unreadable,
    /// The file is not in INI format, or repeats a section or a key.
    syntax,
    unknown_section,
    unknown_key,
    /// A required key is absent or empty.
    missing_key,
    /// The value does not have the type of its key.
    wrong_type,
    out_of_range,
    /// The value contradicts the value of another key.
    inconsistent,
};

/// @brief An error in a settings file, with its location.
struct settings_error {
    settings_error_kind kind = settings_error_kind::syntax;
    std::string file;
    /// Empty when the error concerns the whole file.
    std::string section;
    /// Empty when the error concerns the whole section.
    std::string key;
    /// Explanation for the operator, for example "5 is not from 10 to 60000 ms".
    std::string reason;
};

/// @return The error as one line of text with file, section, key and reason.
[[nodiscard]] std::string to_string(const settings_error& error);

template <typename T>
using result = boost::outcome_v2::checked<T, settings_error>;

} // namespace lovagemoor::settings
