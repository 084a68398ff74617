#pragma once

#include <lovagemoor/codec/fwd.hpp>

#include <boost/outcome/std_result.hpp>

#include <system_error>

namespace lovagemoor::codec {

/// @brief Reason why a message could not be decoded.
enum class codec_error {
    /// The bytes are not a message of the expected type.
    malformed = 1,
    /// A required field is missing or empty, or no alternative of a oneof is set.
    missing_field,
    /// A field of an enumeration type is unspecified or has a value that this version does not
    /// know.
    unknown_enumerator,
    /// A number is outside the valid range of its field.
    out_of_range,
    /// The key does not match any type of record.
    unknown_key,
    /// The identifier in the value differs from the one in the key.
    key_mismatch,
};

[[nodiscard]] const std::error_category& codec_category() noexcept;

[[nodiscard]] std::error_code make_error_code(codec_error error) noexcept;

} // namespace lovagemoor::codec

template <>
struct std::is_error_code_enum<lovagemoor::codec::codec_error> : std::true_type {};

namespace lovagemoor::codec {

template <typename T>
using result = boost::outcome_v2::std_result<T, codec_error>;

} // namespace lovagemoor::codec
