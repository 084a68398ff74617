#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/proxy/pool/prepared_names.hpp>
#include <lovagemoor/proxy/quota/quota_share.hpp>

#include <chrono>
#include <map>
#include <string>

namespace lovagemoor::proxy {

/// @brief Limits and intervals of the session engine.
struct session_engine_settings {
    core::host_id host;
    core::domain_id domain;
    /// Timeout for establishing a TCP connection to a target. A reachable machine answers within a
    /// few milliseconds.
    std::chrono::milliseconds connect_timeout{400};
    /// Timeout for a target's greeting after the connection is established. A greeting occupies one
    /// of the target's slots and queues for it: up to 0.9 s if 124 hosts connect at the same time
    /// (27 ms per greeting, 4 slots).
    std::chrono::milliseconds greeting_timeout{2000};
    /// Delay after the first failed connect. Doubles with each failure, up to connect_backoff_max.
    std::chrono::milliseconds connect_backoff{100};
    std::chrono::milliseconds connect_backoff_max{1000};
    /// Maximum age of the newest leadership check while a service is in use. A third of the
    /// shortest staleness bound in the reference deployments (1,500 ms).
    std::chrono::milliseconds check_interval{500};
    /// A host that keeps no connection to a primary checks it this long before the longest
    /// staleness bound of the service's routes ends, as each check needs a new connection. Covers
    /// the connect, which queues for a slot.
    std::chrono::milliseconds scarce_check_margin{300};
    /// Timeout for a probe. Even a loaded target answers commands that do no work within
    /// milliseconds.
    std::chrono::milliseconds probe_timeout{300};
    /// Timeout for the answer to a command of this host that ends a transaction or asks for the
    /// status. Targets answer these, or refuse them, without doing work; 1 s covers a target that
    /// rolls back after a promotion. The connection is closed then, as its answers may be lost.
    std::chrono::milliseconds command_timeout{1000};
    /// A target is probed if it has sent no reply for this long.
    std::chrono::milliseconds contact_interval{300};
    /// A target counts as unreachable once it has failed for this long.
    std::chrono::milliseconds unreachable_after{200};
    /// Time since a host of another failure domain was heard over the link for which this host is
    /// not cut off, whatever its probes show: they are also late if its network link is full. The
    /// link closes a channel after as much silence.
    std::chrono::milliseconds peer_contact_retention{1000};
    /// Delay after which a host that reaches no target outside its failure domain closes idle
    /// sessions. By then, the load balancer routes new connections to other hosts (it needs two
    /// failed probes, one per second).
    std::chrono::milliseconds isolation_close_delay{2500};
    /// Time between the greeting or the last answer of a session that is to end, and its end. A
    /// caller sends the next statement when it has the answer to the one before, and it would cross
    /// the close. Several round trips to a caller.
    std::chrono::milliseconds close_delay{20};
    /// Idle timeout of connections above the minimum, which is half of the host's share. Closing
    /// them leaves connections to restarting hosts while the targets still count the connections
    /// of their previous processes.
    std::chrono::milliseconds excess_idle_timeout{1500};
    /// Like excess_idle_timeout, for targets to which this host keeps no minimum of connections
    /// because the hosts outnumber the target's connections.
    std::chrono::milliseconds scarce_excess_idle_timeout{400};
    /// Maximum duration of the startup phase, during which targets may still count connections of
    /// hosts that lost power. Targets drop connections to unreachable peers after 3 s.
    std::chrono::milliseconds startup_time{4000};
    /// The startup phase ends early if no target has refused a connection for this long: targets
    /// then no longer count connections of previous processes. Several times the delay before a
    /// refused host reconnects (connect_backoff).
    std::chrono::milliseconds startup_quiet_time{1000};
    /// Minimum interval between connections that are opened in advance of any request. After a
    /// power failure, all hosts leave the startup phase at about the same time. If they connected
    /// all at once, they would occupy a target's slots for most of a second (124 hosts, 27 ms per
    /// connection, 4 slots).
    std::chrono::milliseconds preconnect_pause{200};
    /// Interval between probes of all targets while a service has no known primary.
    std::chrono::milliseconds search_interval{150};
    /// Time after the last contact with a replica of its service, or with the registry, for which a
    /// primary may be used. It ends before hosts on the other side of a network partition can have
    /// replaced the primary: they suspect it after suspicion_delay, and the failover waits for
    /// failover_settings::publication_delay.
    std::chrono::milliseconds primary_lease{500};
    /// Age of the last contact with replicas of a service at which the registry is contacted
    /// instead. Above contact_interval, so that this only happens if the replicas do not answer.
    std::chrono::milliseconds registry_contact_after{350};
    /// Interval at which the announced demotions are listed while the lease of a primary has
    /// lapsed. Shorter than the lease, so that the registry alone can renew it.
    std::chrono::milliseconds demotions_list_interval{400};
    /// A primary that has failed for this long is suspected to be lost.
    std::chrono::milliseconds suspicion_delay{300};
    /// Time for which a host watches failure reports and the promotion lock after it was last
    /// involved in a failover. Equals the longest time for which the lock may be held.
    std::chrono::milliseconds promotion_follow_time{3000};
    /// Time after the host learned that the registry has come back from an older copy, within which
    /// the other hosts have written again what the copy lacks: they learn of the return within 1 s,
    /// list the items and write them by rank. Until then, what the copy lists of demotions and
    /// reports is not taken as complete and current.
    std::chrono::milliseconds registry_restore_time{2000};
    /// Time for which a withdrawn report may still be in a copy of the registry: the age of a copy
    /// (up to 10 s) and an outage of the registry.
    std::chrono::milliseconds withdrawn_report_retention{60000};
    /// Delay before a report that could not be published is published again.
    std::chrono::milliseconds publish_retry{400};
    /// Time within which a lost primary is usually replaced. Covers detection, reports, the
    /// promotion lock and the targets' own promotion (up to 1 s in the reference deployments).
    std::chrono::milliseconds usual_failover_time{3000};
    /// Retry delay sent to callers while no primary can be expected.
    std::chrono::milliseconds primary_retry_after{500};
    /// Time for which a target that refused a statement for lack of capacity gets no new reads.
    std::chrono::milliseconds busy_pause{50};
    /// Time for which a replica that was behind a required log position gets no such reads.
    std::chrono::milliseconds lagging_pause{100};
    /// Time for which a target still gets new statements after the registry removed it. The
    /// registry lists live targets again within 2 s of an outage.
    std::chrono::milliseconds removal_grace{2500};
    /// Time since its last contact for which a replica that the registry removed may still hold
    /// commits that no listed one has. Only with synchronous replicas. Covers a replica that is cut
    /// off from the registry for several times as long as its entry lasts without heartbeats (3.6 s
    /// in the reference deployments).
    std::chrono::milliseconds unlisted_replica_retention{30000};
    /// Time for which a draining target still gets new statements. Half of the shortest drain
    /// period in the reference deployments (7 s).
    std::chrono::milliseconds draining_use_time{3500};
    /// Time between the notice that a target is draining and its stop. Until shortly before, a
    /// draining primary whose replicas lack commits is not replaced.
    std::chrono::milliseconds drain_time{7000};
    /// Time before the stop of a draining primary at which it is replaced in any case and gets no
    /// new statements. Covers the delay with which hosts learn of the notice (up to 1 s) and a
    /// replacement.
    std::chrono::milliseconds drain_margin{2000};
    /// Region of each failure domain; empty if the deployment has a single region.
    std::map<core::domain_id, std::string> domain_regions;
    /// Time within which a holder must grant a loan or say that the request waits. A holder that is
    /// slowed down five times answers a ping within 200 ms.
    std::chrono::milliseconds holder_answer_timeout{250};
    /// Longest time for which a request waits at a holder. Statements have a deadline of 1,000 ms
    /// and more in the reference deployments.
    std::chrono::milliseconds loan_wait{1000};
    /// Interval at which a target that failed is checked again through a holder. Above the time for
    /// which a holder that did not reach it is avoided (1 s), so that the holder is asked again.
    std::chrono::milliseconds recheck_interval{1100};
    /// Time for which the word of a holder in another failure domain that a target does not answer
    /// shows that it is the target which is lost, not this host. Covers a recheck and its answer.
    std::chrono::milliseconds lost_target_retention{1500};
    /// Pause before a holder is asked again that had no connection free in time.
    std::chrono::milliseconds loan_retry_pause{100};
    /// Number of holders that are tried for a request before this host opens a connection itself.
    unsigned max_failed_loans = 2;
    /// Time for which a host that the registry removed still counts when connections are shared
    /// among hosts. Registrations also disappear when the registry itself fails.
    std::chrono::milliseconds removed_host_retention{30000};
    /// Delay added per rank before a host starts a failover that several hosts consider necessary.
    std::chrono::milliseconds promotion_rank_delay{120};
    /// Upper limit for the time between two completions when the throughput of a queue is
    /// estimated. Longer intervals come from failures, not from load.
    std::chrono::milliseconds max_completion_interval{200};
    /// Time after the acknowledgement of a configuration without a key within which the key is no
    /// longer used by any host, also by those cut off from the registry; 0 for no such bound.
    std::chrono::milliseconds key_withdrawal{0};
    /// Part of key_withdrawal at its end in which keys are not used. Covers the resolution of the
    /// clocks and a host's turn of events.
    std::chrono::milliseconds key_withdrawal_margin{250};
    /// The quotas of organisations.
    quota_settings quota;
    /// Longest time for which a request waits for a token of its organisation. Allows for one owner
    /// that does not answer (quota_client::answer_timeout) and another one that does.
    std::chrono::milliseconds quota_wait{250};
    /// Maximum number of statements that a session may send before its current one is answered.
    std::size_t max_backlog = 32;
    /// Limit on the memory of the names, values and shapes that a session may keep, so that one
    /// caller cannot exhaust that of this host. Twice the protocol's limit on a message.
    std::size_t max_session_bytes = std::size_t{2} << 20U;
    /// Limits on the prepared statements of a connection. 72 connections, the limit of a target in
    /// the reference deployments, take 18 MB at most of the 112 MB of the smallest host, as long as
    /// no single shape exceeds the limit.
    prepared_limits prepared;
    /// Maximum number of attempts for one statement.
    unsigned max_attempts = 6;
    /// Time from stop_requested until the process must have ended.
    std::chrono::milliseconds stop_grace{6000};
};

} // namespace lovagemoor::proxy
