#pragma once

#include <chrono>
#include <functional>
#include <random>
#include <vector>

namespace lovagemoor::bench {

/// @brief Arrivals per second as a function of the time since the start.
using rate_function = std::function<double(std::chrono::microseconds)>;

/// @brief Draws the arrival times of a Poisson process whose rate varies with time.
/// @param rate Arrival rate, which is never above `peak`.
/// @param peak Upper bound of the rate in arrivals per second.
/// @return Times after the start in increasing order.
[[nodiscard]] std::vector<std::chrono::microseconds>
draw_arrivals(const rate_function& rate, double peak, std::chrono::microseconds duration,
              std::mt19937_64& random);

} // namespace lovagemoor::bench
