#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/peer_message.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// @brief Values of the platform's key-value service, see records.proto.

namespace lovagemoor::codec {

/// @brief Encodes the value of a record; its key is core::record_key(record).
/// @return Serialized records.proto message. The revision is kept by the platform and is not part
/// of it.
[[nodiscard]] std::string encode_record(const core::platform_record& record);

/// @brief Decodes a value read from the platform. The key selects the type of the message.
/// @param revision Revision of the key's last change, copied into the record.
/// @return The record; any codec_error otherwise.
[[nodiscard]] result<core::platform_record>
decode_record(std::string_view key, std::string_view value, std::int64_t revision);

} // namespace lovagemoor::codec
