#pragma once

#include "parameters.hpp"

namespace lovagemoor::bench {

/// @brief Latency of short statements without and with long work.
void run_blocking(const parameters& values);

/// @brief Demand that rises to twice the capacity within a second.
void run_overload(const parameters& values);

/// @brief Time without acknowledged writes after the loss of a primary.
void run_failover(const parameters& values);

/// @brief Share of reads that replicas serve, and stale answers.
void run_replica_reads(const parameters& values);

/// @brief Latency and processor time that the proxy adds to a statement.
void run_overhead(const parameters& values);

} // namespace lovagemoor::bench
