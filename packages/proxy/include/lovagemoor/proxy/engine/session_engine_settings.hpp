#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>

namespace lovagemoor::proxy {

/// @brief Limits and intervals of the engine.
struct session_engine_settings {
    core::host_id host;
    core::domain_id domain;
    /// Longest wait for a target's machine to accept a connection; a machine that is reached
    /// answers within a few milliseconds.
    std::chrono::milliseconds connect_timeout{400};
    /// Longest wait for a target's greeting after that. A greeting takes one of the target's slots
    /// and waits for it behind others: up to 0.9 s when 124 hosts connect at once (27 ms, 4 slots).
    std::chrono::milliseconds greeting_timeout{2000};
    /// First pause after a failed connect; doubles up to connect_backoff_max.
    std::chrono::milliseconds connect_backoff{100};
    std::chrono::milliseconds connect_backoff_max{1000};
    /// Longest age of the newest proof of leadership while a service is in use. A third of the
    /// shortest staleness of the reference deployments (1,500 ms).
    std::chrono::milliseconds check_interval{500};
    /// A probe of the primary without a reply for this long is a failure. Commands without work are
    /// answered within milliseconds, also by a loaded target.
    std::chrono::milliseconds probe_timeout{300};
    /// A target without a reply for this long is probed.
    std::chrono::milliseconds contact_interval{300};
    /// Targets that fail for this long count as out of reach.
    std::chrono::milliseconds unreachable_after{200};
    /// Time after which a host that reaches no target outside its failure domain closes idle
    /// sessions: by then the load balancer sends them elsewhere (two missed probes, one a second).
    std::chrono::milliseconds isolation_close_delay{2500};
    /// Connections beyond half of the share are closed after this time without use, so that hosts
    /// that restart find connections free while their former ones linger at the targets.
    std::chrono::milliseconds excess_idle_timeout{1500};
    /// The same where hosts outnumber a target's connections.
    std::chrono::milliseconds scarce_excess_idle_timeout{400};
    /// Time for which targets may count connections of hosts that lost power; targets drop
    /// connections to unreachable peers after 3 s.
    std::chrono::milliseconds startup_time{4000};
    /// Targets that refused no connection for this long count none of former processes: several
    /// times the pause after which a refused host tries again (connect_backoff).
    std::chrono::milliseconds startup_quiet_time{1000};
    /// Pause between connections that are opened only to be kept. All hosts settle at about the
    /// same time after a loss of power; opened at once, their connections fill a target's slots for
    /// most of a second (124 hosts, 27 ms, 4 slots).
    std::chrono::milliseconds preconnect_pause{200};
    /// Pause between probes of all targets while a service has no known primary.
    std::chrono::milliseconds search_interval{150};
    /// A primary that failed for this long is suspected.
    std::chrono::milliseconds suspicion_delay{300};
    /// Reports and claims are followed for this long after the last part in a promotion: as long as
    /// a claim of the duty may last.
    std::chrono::milliseconds promotion_follow_time{3000};
    /// A failed report of a primary is repeated after this time.
    std::chrono::milliseconds publish_retry{400};
    /// Time within which a lost primary is usually replaced: detection, reports, claim and the
    /// targets' own promotion (up to 1 s in the reference deployments).
    std::chrono::milliseconds usual_failover_time{3000};
    /// When callers are told to come back while no primary can be expected.
    std::chrono::milliseconds primary_retry_after{500};
    /// Time for which a target that refused for lack of capacity gets no new reads.
    std::chrono::milliseconds busy_pause{50};
    /// Time for which a replica that lagged gets no reads with a bound.
    std::chrono::milliseconds lagging_pause{100};
    /// Time after which a target that the registry removed gets no new statements. The registry
    /// restores live targets within 2 s of an outage.
    std::chrono::milliseconds removal_grace{2500};
    /// Time for which a draining target may still get new statements; half of the shortest notice
    /// of the reference deployments (7 s).
    std::chrono::milliseconds draining_use_time{3500};
    /// Time for which a host that the registry removed still counts for the shares of connections:
    /// registrations also vanish with the registry's own failures.
    std::chrono::milliseconds removed_host_retention{30000};
    /// Delay of each further host that sees the need of a promotion.
    std::chrono::milliseconds promotion_rank_delay{120};
    /// Longest time between two statements that counts for the speed of a queue: longer pauses come
    /// from failures, not from load.
    std::chrono::milliseconds max_completion_interval{200};
    /// Statements that a session may send ahead.
    std::size_t max_backlog = 32;
    /// Attempts for one statement.
    unsigned max_attempts = 6;
    /// Time from the request to stop until the process must have ended.
    std::chrono::milliseconds stop_grace{6000};
};

} // namespace lovagemoor::proxy
