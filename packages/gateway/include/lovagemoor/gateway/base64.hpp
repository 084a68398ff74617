#pragma once

#include <string>

namespace lovagemoor::gateway {

/// @return Standard base64 with padding.
[[nodiscard]] std::string encode_base64(const std::string& bytes);

/// @throws std::invalid_argument when the text is not base64.
[[nodiscard]] std::string decode_base64(const std::string& text);

} // namespace lovagemoor::gateway
