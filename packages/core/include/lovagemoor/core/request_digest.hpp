#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/statement.hpp>

#include <string>
#include <string_view>

namespace lovagemoor::core {

/// @brief SHA-256 of service, shard key, SQL text and parameters, each prefixed with its length so
/// that different requests cannot collide by concatenation.
/// @return 64 hexadecimal digits.
[[nodiscard]] std::string request_digest(const service_id& service, std::string_view shard_key,
                                         const statement& request);

} // namespace lovagemoor::core
