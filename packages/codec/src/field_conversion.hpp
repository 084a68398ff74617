#pragma once

#include <lovagemoor/codec/codec_error.hpp>

#include <google/protobuf/message_lite.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace lovagemoor::codec::internal {

/// @return The number of the duration's periods, clamped to the range of an unsigned 32-bit field.
template <typename Period>
[[nodiscard]] std::uint32_t
clamped_uint32_count(std::chrono::duration<std::int64_t, Period> value) noexcept {
    constexpr std::int64_t max_value = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, max_value));
}

/// @return A copy of the text, or missing_field when it is empty.
[[nodiscard]] inline result<std::string> require_non_empty(const std::string& text) {
    if (text.empty()) {
        return codec_error::missing_field;
    }
    return text;
}

/// @brief Moves a decoded value into `field`.
/// @return The error of `decoded`, if it has one.
template <typename T>
[[nodiscard]] result<void> assign(T& field, result<T>&& decoded) {
    if (decoded.has_error()) {
        return decoded.error();
    }
    field = std::move(decoded).assume_value();
    return boost::outcome_v2::success();
}

/// @brief Maximum duration in a message. A duration up to this limit can be added to a time_point
/// of the core without overflow.
inline constexpr std::chrono::hours max_duration{10 * 365 * 24};

/// @return The number of the duration's periods, clamped to the range from 0 to max_duration.
template <typename Period>
[[nodiscard]] std::uint64_t
clamped_count(std::chrono::duration<std::int64_t, Period> value) noexcept {
    using duration = std::chrono::duration<std::int64_t, Period>;
    return static_cast<std::uint64_t>(
        std::clamp<duration>(value, duration{0}, max_duration).count());
}

/// @brief Stores a received number of periods as a duration in `field`.
/// @return out_of_range when the duration exceeds max_duration.
template <typename Period>
[[nodiscard]] result<void> parse_duration(std::uint64_t count,
                                          std::chrono::duration<std::int64_t, Period>& field) {
    using duration = std::chrono::duration<std::int64_t, Period>;
    if (count > clamped_count(duration::max())) {
        return codec_error::out_of_range;
    }
    field = duration{static_cast<std::int64_t>(count)};
    return boost::outcome_v2::success();
}

/// @brief Converts an enumerator of the core to that of a message. The enumerators of the message
/// have the same order but start at 1, because 0 means unspecified.
template <typename Message, typename Core>
[[nodiscard]] Message to_message_enum(Core value) noexcept {
    return static_cast<Message>(static_cast<int>(value) + 1);
}

/// @brief Stores the enumerator of a message as the core's enumerator in `field`; the inverse of
/// to_message_enum().
/// @param last The last enumerator of the core's enumeration.
/// @return unknown_enumerator when the value is unspecified or has no counterpart up to `last`.
template <typename Core, typename Message>
[[nodiscard]] result<void> parse_enum(Message value, Core last, Core& field) {
    const int number = static_cast<int>(value) - 1;
    if (number < 0 || number > static_cast<int>(last)) {
        return codec_error::unknown_enumerator;
    }
    field = static_cast<Core>(number);
    return boost::outcome_v2::success();
}

/// @brief Parses a serialized message without throwing an exception.
/// @return malformed when the bytes are not a message of this type.
[[nodiscard]] inline result<void> parse(std::string_view bytes,
                                        google::protobuf::MessageLite& message) {
    if (!std::in_range<int>(bytes.size()) ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return codec_error::malformed;
    }
    return boost::outcome_v2::success();
}

} // namespace lovagemoor::codec::internal
