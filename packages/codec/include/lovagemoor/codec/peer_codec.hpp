#pragma once

#include <lovagemoor/codec/codec_error.hpp>
#include <lovagemoor/core/peer_message.hpp>

#include <string>
#include <string_view>

/// @file
/// @brief Messages between hosts, see peer.proto.

namespace lovagemoor::codec {

/// @brief Encodes a message to another host. Negative durations become zero and durations above
/// ten years become ten years.
/// @return Serialized PeerMessage.
[[nodiscard]] std::string encode_peer_message(const core::peer_message& message);

/// @brief Decodes a message from another host; never throws on invalid input.
/// @return The message; malformed, missing_field, unknown_enumerator or out_of_range otherwise.
[[nodiscard]] result<core::peer_message> decode_peer_message(std::string_view bytes);

} // namespace lovagemoor::codec
