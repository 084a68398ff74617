#pragma once

#include <lovagemoor/testbed/cluster.hpp>

#include <chrono>
#include <string>

namespace lovagemoor::bench {

/// @return Processor time that the processes of all hosts have used so far in user and kernel
/// mode, from /proc/PID/stat. The resolution is one clock tick, usually 10 ms.
/// @throws std::runtime_error when the process of a host has ended.
[[nodiscard]] std::chrono::microseconds hosts_processor_time(testbed::cluster& system);

/// @return Sum of a counter over the /metrics endpoints of all hosts. Only the time series whose
/// line contains the label text are added.
/// @param label For example role="replica".
/// @throws std::runtime_error when the endpoint of a host refuses the connection.
[[nodiscard]] double sum_counter(testbed::cluster& system, const std::string& counter,
                                 const std::string& label);

} // namespace lovagemoor::bench
