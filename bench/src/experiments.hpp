#pragma once

#include "parameters.hpp"

namespace lovagemoor::bench {

/// @brief Measures the latency of short statements without and with concurrent long statements.
void run_blocking(const parameters& values);

/// @brief Measures throughput, latency and refusals when the demand rises to twice the capacity
/// within a second. The INI file and the printed results call the experiment `crest`.
void run_overload(const parameters& values);

/// @brief Measures the time without acknowledged writes after the loss of a primary.
void run_failover(const parameters& values);

/// @brief Measures the share of reads that replicas serve, and counts stale answers.
void run_replica_reads(const parameters& values);

/// @brief Measures the latency and processor time that the proxy adds to a statement.
void run_overhead(const parameters& values);

} // namespace lovagemoor::bench
