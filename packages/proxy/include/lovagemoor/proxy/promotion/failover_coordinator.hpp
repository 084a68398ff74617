#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/promotion/promotion_token.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Why a service needs another primary.
enum class promotion_cause : std::uint8_t {
    none,
    /// Enough hosts report that they cannot reach the primary.
    primary_lost,
    /// The primary announced that it stops.
    primary_draining,
};

/// @brief A replica that may be promoted.
struct promotion_candidate {
    core::target_id target;
    bool draining = false;
    /// False if the registry has removed the entry of the replica. A replica that is cut off from
    /// the registry alone still receives commits, and confirms them if it is synchronous.
    bool listed = true;
    /// True if it drains and would end before it could be replaced in turn.
    bool ends_soon = false;
};

/// @brief A replication position that the primary had at a time.
struct dated_position {
    /// Time at which the check that proved it was sent.
    core::time_point at;
    replication_position position;
};

/// @brief State of a service on which the failover decision is based.
struct failover_input {
    core::service_id service;
    std::optional<core::target_id> primary;
    promotion_cause cause = promotion_cause::none;
    /// Targets that are not the primary. Unlisted ones only with synchronous replicas, as they may
    /// hold commits that no listed one has.
    std::vector<promotion_candidate> replicas;
    unsigned synchronous_replicas = 0;
    core::term_number term = 0;
    /// Newest position that this host has seen of a primary of the service.
    std::optional<dated_position> newest_check = std::nullopt;
    /// Time at which a draining primary must be replaced because it is about to end.
    std::optional<core::time_point> replace_by = std::nullopt;
};

struct failover_settings {
    /// Time for which the promotion lock is acquired. Long enough for the inspection, the call and
    /// the targets' own promotion (up to 1 s in the reference deployments).
    std::chrono::milliseconds lock_duration{3000};
    /// The lock is not used for this long before it expires, so that a delayed call still arrives
    /// while the lock is held.
    std::chrono::milliseconds lock_expiry_margin{500};
    /// Delay before the lock is requested again.
    std::chrono::milliseconds lock_retry_pause{250};
    /// Time to wait for the positions of further replicas once one is known.
    std::chrono::milliseconds inspection_time{150};
    /// Interval at which the positions are queried again until the promotion is called.
    std::chrono::milliseconds inspection_interval{50};
    /// Time for a primary that announced its end to acknowledge its demotion before the demotion is
    /// published.
    std::chrono::milliseconds demotion_time{150};
    /// Delay between the publication of a demotion and the promotion. Within this time every host
    /// that can reach the registry has learned of the demotion: a watch is answered within
    /// milliseconds, and even a host with a twelfth of a core processes it within 100 ms.
    std::chrono::milliseconds publication_delay{300};
    /// Delay before a demotion that could not be published is published again.
    std::chrono::milliseconds publication_retry{200};
    /// Maximum time for a replica to receive the last commits of a demoted primary. The former
    /// primary leads again if it has answered within this time and no replica has its last commits.
    std::chrono::milliseconds catch_up_time{300};
    /// A primary that has passed a check within this time is in reach. Above the interval of the
    /// checks (500 ms) and the time limit of one (300 ms).
    std::chrono::milliseconds reach_time{900};
    /// Interval at which the positions are queried while the replicas of a primary in reach lack
    /// commits.
    std::chrono::milliseconds lagging_inspection_interval{150};
    /// Timeout for the first position, and interval at which the positions are queried again while
    /// they do not suffice for a choice.
    std::chrono::milliseconds inspection_limit{600};
    /// Delay before a promotion call without an answer is repeated.
    std::chrono::milliseconds call_retry{700};
    /// Number of times that paused replicas are told to receive again, at intervals of
    /// inspection_limit. More than one, as a replica may be out of reach.
    unsigned release_attempts = 5;
    /// Time within which the promoted target must become the primary before the failover restarts.
    std::chrono::milliseconds takeover_limit{2500};
};

/// @name Steps requested by the failover coordinator
/// @{
struct inspect_replicas {
    core::service_id service;
    /// Term with which replication into the replicas is held; 0 to query the status only.
    core::term_number hold_term = 0;
    /// Replicas for which the failover has waited since the last query.
    std::vector<core::target_id> awaited;
    /// The former primary once it has been demoted. It is queried even if an old entry names it as
    /// the primary.
    core::target_id demoted;
};

/// @brief Lets the replicas of a service receive again after a failover that held replication was
/// given up. Otherwise the primary could acknowledge no commit.
struct release_replicas {
    core::service_id service;
};

/// @brief Makes the former primary a replica, if this host reaches it. A primary may otherwise
/// continue to accept writes after another target was promoted.
struct demote_primary {
    primary_demotion demotion;
};

/// @brief Tells all hosts to stop using the former primary and to demote it if they reach it.
struct announce_demotion {
    primary_demotion demotion;
    promotion_token fencing_token;
};

struct call_promotion {
    core::service_id service;
    core::target_id target;
    promotion_token fencing_token;
    /// Known positions of all targets, the former primary included if it has been demoted.
    std::map<core::target_id, replication_position> positions;
    /// Last known position of the former primary: the one at its demotion, otherwise the one of the
    /// newest check. Empty if none is known.
    std::optional<replication_position> former_position;
    /// The same call has been made before.
    bool repeated = false;

    /// @return Least number of commits that the former primary or another target is known to hold
    /// and the target lacks. Logs that parted in an earlier term may differ by more.
    [[nodiscard]] core::log_position commits_left_behind() const;
};

struct request_promotion_lock {
    std::chrono::milliseconds duration{0};
};

using failover_step = std::variant<request_promotion_lock, inspect_replicas, release_replicas,
                                   demote_primary, announce_demotion, call_promotion>;

/// @}

/// @brief Decides when to replace a service's primary, and by which target.
///
/// The hosts have no permanent leader. A host that detects the need for a failover acquires the
/// promotion lock in the registry, which gives the fencing token of its calls (promotion_token).
/// The host then queries the replicas for their positions.
///
/// A primary may continue to accept writes after another target was promoted. Before the call, the
/// former primary is therefore demoted: either it acknowledges the demotion, or the demotion is
/// published and every host has had time to stop using it. In the first case no commit is lost: the
/// host waits until a replica has received the last one, and otherwise lets the former primary lead
/// again. A primary in reach whose replicas receive nothing is not demoted, unless it is about to
/// end.
///
/// The replica with the most complete log is promoted, even one that is about to end: it is
/// replaced in turn once another one has its commits. With synchronous replicas, a failover waits
/// while that one is unknown, unlisted or not running: promoting another would lose commits that
/// were acknowledged. A call without an answer is repeated for the
/// same target with the same token, because the first call may still be executed.
class failover_coordinator {
public:
    failover_coordinator() = default;

    explicit failover_coordinator(failover_settings settings) : settings_{settings} {}

    /// @return The steps to perform now.
    [[nodiscard]] std::vector<failover_step> advance(core::time_point now,
                                                     const std::vector<failover_input>& inputs);

    void on_promotion_lock_answered(core::time_point now, const promotion_lock_answered& result);

    /// @brief Another host acquired the promotion lock.
    void on_promotion_lock_taken(core::time_point now, const promotion_lock_taken& taken);

    /// @brief The promotion lock of this or another host has ended.
    void on_promotion_lock_released(const promotion_lock_released& end);

    /// @brief The registry has come back from an older copy. The lock and its lease are gone, and
    /// another host may acquire it.
    void on_registry_restored();

    void on_status(core::time_point now, const core::service_id& service,
                   const core::target_id& target, const target_status& status);
    void on_demotion_published(core::time_point now, const demotion_publish_answered& answer);
    void on_promotion(core::time_point now, const promotion_answered& answer);

    /// @brief A target proved that it is the primary.
    void on_primary(const core::service_id& service, const core::target_id& target);

    /// @return True while this host performs a failover of the service.
    [[nodiscard]] bool promoting(const core::service_id& service) const;

    /// @return True if this host may promote now.
    [[nodiscard]] bool holds_promotion_lock(core::time_point now) const;

    [[nodiscard]] bool requests_or_holds_promotion_lock(core::time_point now) const;

private:
    enum class stage : std::uint8_t { inspecting, demoting, calling, taking_over };

    struct attempt {
        stage current_stage = stage::inspecting;
        core::time_point started_at;
        promotion_cause cause = promotion_cause::none;
        /// Empty if no primary is known.
        core::target_id former_primary;
        core::time_point inspected_at;
        core::term_number demotion_term = 0;
        /// Newest check at the inspection before the last one. A replica that follows the primary
        /// has this position by now.
        replication_position expected_position;
        /// Newest check at the last inspection.
        replication_position checked_position;
        /// Highest term that a target reported.
        core::term_number newest_term = 0;
        /// Highest term in which a target other than the former primary reported to lead.
        core::term_number leading_term = 0;
        core::time_point demoting_since;
        /// Last position of the former primary, once it has acknowledged its demotion.
        std::optional<replication_position> final_position;
        core::time_point final_position_at;
        /// Time of the last attempt to publish the demotion.
        std::optional<core::time_point> announced_at;
        /// Time at which the registry acknowledged the publication.
        std::optional<core::time_point> published_at;
        std::map<core::target_id, target_status> positions;
        /// Last time at which the former primary reported its position.
        core::time_point former_primary_contact;
        std::set<core::target_id> rejected;
        core::target_id chosen;
        core::time_point called_at;
        bool holds_replication = false;
    };

    /// A service whose replicas were paused by a failover that promoted none of them.
    struct held_service {
        /// Number of times that the replicas were told to receive again.
        unsigned releases = 0;
        core::time_point next_release;
    };

    void start(core::time_point now, const failover_input& input,
               std::vector<failover_step>& steps);
    void request_lock(core::time_point now, std::vector<failover_step>& steps);
    void release(core::time_point now, const core::service_id& service,
                 std::vector<failover_step>& steps);
    /// @brief Ends an attempt that promoted no target.
    void give_up(const core::service_id& service);
    void advance_attempt(core::time_point now, const failover_input& input, attempt& current,
                         std::vector<failover_step>& steps);
    void advance_inspection(core::time_point now, const failover_input& input, attempt& current,
                            std::vector<failover_step>& steps);
    void advance_demotion(core::time_point now, const failover_input& input, attempt& current,
                          std::vector<failover_step>& steps);
    void inspect(core::time_point now, const failover_input& input, attempt& current,
                 std::vector<failover_step>& steps) const;
    [[nodiscard]] call_promotion promotion_call(const failover_input& input, const attempt& current,
                                                bool repeated) const;
    /// @return True if no commit can be acknowledged by the former primary any more.
    [[nodiscard]] bool is_demoted(core::time_point now, const attempt& current) const;
    /// @return True if the candidate has received every commit of the former primary, as far as
    /// they are known.
    [[nodiscard]] static bool has_caught_up(const failover_input& input, const attempt& current,
                                            const core::target_id& candidate);
    [[nodiscard]] std::optional<core::target_id>
    choose(core::time_point now, const failover_input& input, const attempt& current) const;
    /// @return True if the former primary may lead again, because no replica has received its last
    /// commits in time.
    [[nodiscard]] bool may_lead_again(core::time_point now, const failover_input& input,
                                      const attempt& current) const;
    /// @return True if the primary is in reach and the candidate lacks commits that a replica which
    /// follows it has received by now.
    [[nodiscard]] bool lags_behind_primary(core::time_point now, const failover_input& input,
                                           const attempt& current,
                                           const core::target_id& candidate) const;
    [[nodiscard]] bool inspection_done(core::time_point now, const failover_input& input,
                                       const attempt& current) const;
    /// @return The replicas without a known position, or the unlisted ones with the most complete
    /// log.
    [[nodiscard]] static std::vector<core::target_id> awaited_replicas(const failover_input& input,
                                                                       const attempt& current);
    /// @return Position of the most complete log among the replicas whose position is known.
    [[nodiscard]] static replication_position newest_position(const failover_input& input,
                                                              const attempt& current);

    failover_settings settings_;
    std::optional<promotion_token> fencing_token_;
    core::time_point lock_held_until_;
    bool lock_requested_ = false;
    /// Latest time until which another host may hold the lock.
    core::time_point lock_taken_until_;
    core::time_point next_lock_request_;
    std::map<core::service_id, attempt> attempts_;
    std::map<core::service_id, held_service> held_;
};

} // namespace lovagemoor::proxy
