#pragma once

#include <lovagemoor/codec/codec_error.hpp>

#include <boost/outcome/try.hpp>

#include <google/protobuf/message_lite.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagemoor::codec::internal {

/// @return The duration's count, limited to the range of an unsigned 32-bit field.
template <typename Period>
[[nodiscard]] std::uint32_t
saturated_count(std::chrono::duration<std::int64_t, Period> value) noexcept {
    constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, highest));
}

/// @return A copy of the text, missing_part when it is empty.
[[nodiscard]] inline result<std::string> required(const std::string& text) {
    if (text.empty()) {
        return codec_error::missing_part;
    }
    return text;
}

/// @brief Moves a decoded value into the field of a record, or passes its error on.
template <typename T>
[[nodiscard]] result<void> assign(T& field, result<T>&& decoded) {
    if (decoded.has_error()) {
        return decoded.error();
    }
    field = std::move(decoded).assume_value();
    return boost::outcome_v2::success();
}

/// @brief Converts a repeated field with from_message().
template <typename Record, typename Messages>
[[nodiscard]] result<std::vector<Record>> from_messages(const Messages& messages) {
    std::vector<Record> records;
    records.reserve(static_cast<std::size_t>(messages.size()));
    for (const auto& message : messages) {
        BOOST_OUTCOME_TRY(record, from_message(message));
        records.push_back(std::move(record));
    }
    return records;
}

/// @brief Parses a serialized message without throwing.
[[nodiscard]] inline result<void> parse(std::string_view bytes,
                                        google::protobuf::MessageLite& message) {
    if (!std::in_range<int>(bytes.size()) ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return codec_error::malformed;
    }
    return boost::outcome_v2::success();
}

} // namespace lovagemoor::codec::internal
