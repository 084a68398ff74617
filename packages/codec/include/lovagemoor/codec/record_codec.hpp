#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/peer_message.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief Encoding of the values in the platform's key-value service, which records.proto defines.

namespace lovagemoor::codec {

/// @brief Encodes the value of a record. The key of the value is core::record_key(record).
/// @return The serialized message of records.proto. It does not contain the revision, which the
/// platform stores itself.
[[nodiscard]] std::string encode_record(const core::platform_record& record);

/// @brief Decodes a value that was read from the platform. The key determines the message type.
/// @param revision The revision at which the key was last changed. It is copied into the record.
/// @return The record, or any codec_error.
[[nodiscard]] result<core::platform_record>
decode_record(std::string_view key, std::string_view value, std::int64_t revision);

} // namespace lovagemoor::codec
