#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/peer_message.hpp>

#include <string>
#include <string_view>

/// @file
/// @brief Encoding of the messages between hosts, which peer.proto defines.

namespace lovagemoor::codec {

/// @brief Encodes a message to another host. Negative durations are encoded as zero, and durations
/// above ten years as ten years.
/// @return The serialized PeerMessage.
[[nodiscard]] std::string encode_peer_message(const core::peer_message& message);

/// @brief Decodes a message from another host; never throws on invalid input.
/// @return The message, or one of the errors malformed, missing_field, unknown_enumerator and
/// out_of_range.
[[nodiscard]] result<core::peer_message> decode_peer_message(std::string_view bytes);

} // namespace lovagemoor::codec
