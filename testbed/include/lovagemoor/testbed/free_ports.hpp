#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Picks ports of 127.0.0.1 that are free now, for programs that must know each other's
/// ports before they start.
///
/// The ports lie below the range from which the system takes ephemeral ports, in a part that
/// depends on the process identifier, so that nothing else takes them in the meantime.
/// @throws std::runtime_error when not enough ports are free.
[[nodiscard]] std::vector<std::uint16_t> find_free_ports(std::size_t count);

} // namespace lovagemoor::testbed
