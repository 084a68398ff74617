#pragma once

#include <lovagemoor/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace lovagemoor::core {

using namespace std::chrono_literals;

/// @brief Limits and intervals that the core's decisions use.
struct core_settings {
    // Membership.
    duration ping_interval = 300ms;
    duration ping_timeout = 150ms;
    /// A suspect member that does not refute the suspicion within this time is declared dead.
    duration suspicion_timeout = 900ms;
    std::uint32_t indirect_pings = 3;
    std::uint32_t updates_per_message = 8;

    // Distribution of the platform's records.
    std::uint32_t push_fanout = 3;
    std::uint32_t push_hops = 8;
    duration view_pull_interval = 1s;
    /// Number of hosts per failure domain that watch the platform.
    std::uint32_t watchers_per_domain = 2;
    duration platform_retry_interval = 500ms;

    // Failure detection and promotion.
    duration status_interval = 250ms;
    duration status_timeout = 250ms;
    duration primary_suspicion = 600ms;
    duration report_interval = 1s;
    std::uint32_t observers_per_group = 3;
    std::uint32_t reports_to_suspect = 2;
    duration candidate_delay = 200ms;
    duration election_timeout = 2s;

    // Acknowledgement.
    std::chrono::milliseconds attest_wait = 20ms;
    duration attest_timeout = 500ms;

    // Requests.
    duration max_timeout = 60s;
    /// How long after the deadline an entry host still waits for the owner's answer.
    duration deadline_grace = 50ms;
    std::size_t max_statement_bytes = 1'000'000;
    std::size_t max_buffered_result_bytes = 1'000'000;
    /// Maximum number of requests that an entry host holds while their groups have no primary.
    std::size_t max_parked_requests = 10'000;
    double retry_budget_ratio = 0.1;
    double retry_budget_burst = 100;

    // Scheduling on a target.
    duration bulk_max_wait = 2s;
    /// Statements whose mean run time exceeds this limit are scheduled as bulk.
    duration bulk_threshold = 100ms;
    std::size_t max_queue_per_target = 5'000;
    std::uint32_t spare_connections = 2;
    duration previous_owner_grace = 2s;
    /// A transaction without a statement for this long is rolled back.
    duration transaction_idle_timeout = 30s;
    /// Maximum time for which a graceful stop waits for requests and transactions.
    duration drain_timeout = 60s;
};

} // namespace lovagemoor::core
