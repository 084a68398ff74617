#pragma once

#include <chrono>

namespace lovagemoor::target::internal {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

} // namespace lovagemoor::target::internal
