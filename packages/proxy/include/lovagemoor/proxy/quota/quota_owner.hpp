#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/quota/quota_share.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace lovagemoor::proxy {

/// @brief Grants tokens from the buckets of the slots that this host owns.
///
/// The owner of a slot holds the lease of the slot's registry item. It grants only while the lease
/// cannot have ended; another host may own the slot afterwards. A new owner does not know what the
/// previous one has granted: its buckets start empty, once the previous grants have expired.
class quota_owner {
public:
    /// @param lease_duration Duration of the lease, counted by the registry from a renewal.
    quota_owner(quota_settings settings, std::chrono::milliseconds lease_duration);

    /// @brief Applies the limits of a configuration. A lowered limit holds at once. An organisation
    /// that is new, or back after its removal, starts with empty buckets.
    void configure(core::time_point now,
                   const std::map<core::organisation_id, organisation>& organisations);

    /// @brief This host owns the slot.
    void acquire(core::time_point now, quota_slot slot);

    /// @brief Another host may own the slot.
    void release(quota_slot slot);

    /// @brief The lease was granted or renewed.
    /// @param sent Time at which the call was sent.
    void on_lease_renewed(core::time_point sent);

    /// @brief The lease has ended: all slots are released.
    void on_lease_lost();

    [[nodiscard]] bool owns(quota_slot slot) const { return slots_.contains(slot); }

    struct answer {
        unsigned granted = 0;
        /// Time after which a token can be expected, if none was granted.
        std::chrono::milliseconds retry_after{0};
        /// This host does not own the slot, or cannot be certain of it.
        bool not_owner = false;
    };

    [[nodiscard]] answer grant(core::time_point now, const core::organisation_id& organisation,
                               quota_slot slot, unsigned wanted);

    /// Part at the end of the lease in which nothing is granted. Covers the resolution of the
    /// clocks, the registry's own delay and the validity of grants.
    static constexpr std::chrono::milliseconds lease_margin{500};

private:
    struct limits {
        quota_share share;
        /// Time since which the organisation is configured.
        core::time_point since;
    };

    struct bucket {
        double level = 0;
        core::time_point updated;
        /// Time at which the token after those promised to refused requests is due.
        core::time_point promised_until;
    };

    static void refill(bucket& filled, const quota_share& share, core::time_point now);
    /// @return Time until a token that is not promised to an earlier request.
    [[nodiscard]] std::chrono::milliseconds promise(core::time_point now, bucket& empty,
                                                    const quota_share& share) const;

    quota_settings settings_;
    std::chrono::milliseconds lease_duration_;
    std::map<core::organisation_id, limits> limits_;
    /// Owned slots with the time from which they grant.
    std::map<quota_slot, core::time_point> slots_;
    std::map<std::pair<quota_slot, core::organisation_id>, bucket> buckets_;
    /// Time until which the lease cannot have ended.
    std::optional<core::time_point> certain_until_;
};

} // namespace lovagemoor::proxy
