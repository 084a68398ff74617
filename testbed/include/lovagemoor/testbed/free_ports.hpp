#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Finds free ports on 127.0.0.1 for programs that must know each other's ports before they
/// start.
///
/// The ports lie below the system's range of ephemeral ports, and where the search starts depends
/// on the process identifier. Both make it unlikely that another process binds a port in the
/// meantime.
/// @throws std::runtime_error if not enough ports are free.
[[nodiscard]] std::vector<std::uint16_t> find_free_ports(std::size_t count);

} // namespace lovagemoor::testbed
