#pragma once

namespace lovagemoor::testbed {

/// @brief Paths of the programs of this build, set by CMake.
/// @{
[[nodiscard]] const char* host_program() noexcept;
[[nodiscard]] const char* operator_program() noexcept;
[[nodiscard]] const char* platform_program() noexcept;
[[nodiscard]] const char* target_program() noexcept;
/// @}

} // namespace lovagemoor::testbed
