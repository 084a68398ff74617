#pragma once

#include <cstddef>

namespace lovagemoor::proxy {

/// @brief This host's part of the connections that a target accepts from all hosts.
/// @param limit The target's limit; 0 if unknown.
/// @param hosts Live hosts, this one included; 0 if unknown.
/// @return At least 1.
[[nodiscard]] unsigned connection_share(unsigned limit, std::size_t hosts) noexcept;

} // namespace lovagemoor::proxy
