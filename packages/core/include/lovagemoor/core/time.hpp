#pragma once

#include <chrono>

namespace lovagemoor::core {

/// @brief Resolution of all times in the core.
using duration = std::chrono::microseconds;

/// @brief Clock type of times that the driver reads from its monotonic clock. It has no now(),
/// because the core never reads a clock.
struct monotonic_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, std::chrono::microseconds>;
    static constexpr bool is_steady = true;
};

/// @brief Point in time on the driver's monotonic clock, in microseconds.
using time_point = monotonic_clock::time_point;

} // namespace lovagemoor::core
