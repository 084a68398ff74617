#pragma once

#include <string>

namespace lovagemoor::gateway {

/// @return The bytes in standard base64 (RFC 4648) with padding.
[[nodiscard]] std::string encode_base64(const std::string& bytes);

/// @return The bytes that the base64 text encodes.
/// @throws std::invalid_argument when the text is not valid base64.
[[nodiscard]] std::string decode_base64(const std::string& text);

} // namespace lovagemoor::gateway
