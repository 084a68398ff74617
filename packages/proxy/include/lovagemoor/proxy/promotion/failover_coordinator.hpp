#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>

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
};

/// @brief State of a service on which the failover decision is based.
struct failover_input {
    core::service_id service;
    std::optional<core::target_id> primary;
    promotion_cause cause = promotion_cause::none;
    /// Listed targets that are not the primary.
    std::vector<promotion_candidate> replicas;
    unsigned synchronous_replicas = 0;
    core::term_number term = 0;
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
    /// Timeout for the first position.
    std::chrono::milliseconds inspection_limit{600};
    /// Delay before a promotion call without an answer is repeated.
    std::chrono::milliseconds call_retry{700};
    /// Time within which the promoted target must become the primary before the failover restarts.
    std::chrono::milliseconds takeover_limit{2500};
};

/// @name Steps requested by the failover coordinator
/// @{
struct inspect_replicas {
    core::service_id service;
    /// Term with which replication into the replicas is held; 0 to query the status only.
    core::term_number hold_term = 0;
};

struct call_promotion {
    core::service_id service;
    core::target_id target;
    std::uint64_t fencing_token = 0;
};

struct request_promotion_lock {
    std::chrono::milliseconds duration{0};
};

using failover_step = std::variant<request_promotion_lock, inspect_replicas, call_promotion>;

/// @}

/// @brief Decides when to replace a service's primary, and by which target.
///
/// The hosts have no permanent leader. A host that detects the need for a failover acquires the
/// promotion lock in the registry; the revision of the lock is the fencing token of its calls. The
/// host then queries the replicas for their positions and promotes the one with the most complete
/// log. A call without an answer is repeated for the same target with the same token, because the
/// first call may still be executed.
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

    void on_status(const core::service_id& service, const core::target_id& target,
                   const target_status& status);
    void on_promotion(core::time_point now, const promotion_answered& answer);

    /// @brief A target proved that it is the primary.
    void on_primary(const core::service_id& service, const core::target_id& target);

    /// @return True while this host performs a failover of the service.
    [[nodiscard]] bool promoting(const core::service_id& service) const;

    /// @return True if this host may promote now.
    [[nodiscard]] bool holds_promotion_lock(core::time_point now) const;

    [[nodiscard]] bool requests_or_holds_promotion_lock(core::time_point now) const;

private:
    enum class stage : std::uint8_t { inspecting, calling, taking_over };

    struct attempt {
        stage current_stage = stage::inspecting;
        core::time_point started_at;
        core::target_id former_primary;
        std::map<core::target_id, target_status> positions;
        std::set<core::target_id> rejected;
        core::target_id chosen;
        core::time_point called_at;
    };

    void start(core::time_point now, const failover_input& input,
               std::vector<failover_step>& steps);
    void advance_attempt(core::time_point now, const failover_input& input, attempt& current,
                         std::vector<failover_step>& steps);
    [[nodiscard]] std::optional<core::target_id> choose(const failover_input& input,
                                                        const attempt& current) const;
    [[nodiscard]] bool inspection_done(core::time_point now, const failover_input& input,
                                       const attempt& current) const;

    failover_settings settings_;
    std::optional<std::uint64_t> fencing_token_;
    core::time_point lock_held_until_;
    bool lock_requested_ = false;
    /// Latest time until which another host may hold the lock.
    core::time_point lock_taken_until_;
    core::time_point next_lock_request_;
    std::map<core::service_id, attempt> attempts_;
};

} // namespace lovagemoor::proxy
