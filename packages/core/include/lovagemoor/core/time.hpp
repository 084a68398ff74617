#pragma once

#include <chrono>

namespace lovagemoor::core {

/// @brief Resolution of all times in the core.
using duration = std::chrono::microseconds;

/// @brief Tag for times on the driver's monotonic clock. The core never reads a clock.
struct monotonic_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, std::chrono::microseconds>;
    static constexpr bool is_steady = true;
};

/// @brief Point on the driver's monotonic clock, in microseconds.
using time_point = monotonic_clock::time_point;

} // namespace lovagemoor::core
