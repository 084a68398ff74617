#pragma once

#include <lovagemoor/testbed/cluster.hpp>

#include <chrono>
#include <string>

namespace lovagemoor::bench {

/// @return Processor time of all hosts' processes so far, from /proc/PID/stat, in user and kernel
/// mode. The resolution is one clock tick, usually 10 ms.
/// @throws std::runtime_error when a host has ended.
[[nodiscard]] std::chrono::microseconds hosts_processor_time(testbed::cluster& system);

/// @return Sum of a counter over all hosts' /metrics endpoints, over the time series whose line
/// contains the label text.
/// @param label For example role="replica".
/// @throws std::runtime_error when a host does not answer.
[[nodiscard]] double sum_counter(testbed::cluster& system, const std::string& counter,
                                 const std::string& label);

} // namespace lovagemoor::bench
