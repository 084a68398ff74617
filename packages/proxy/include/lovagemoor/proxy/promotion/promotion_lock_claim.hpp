#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/promotion/promotion_token.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lovagemoor::proxy {

/// Key of the promotion lock. The value is the host that may promote; the item's revision and the
/// era of the registry give its fencing token (promotion_token).
inline constexpr std::string_view promotion_lock_key = "lovagemoor/promotion/duty";

/// Prefix of the keys that are written with the lock. The era follows; the value is that of the
/// lock. Not below the prefix of the promotion keys, whose changes wake the hosts that follow them.
inline constexpr std::string_view promotion_claims_prefix = "lovagemoor/promotion-claims/";

/// @return Conditions of a write that requires the lock with this token. The condition on the lock
/// alone does not suffice: a later era may give its revision to the lock of another host, and the
/// registry may execute a write seconds late.
[[nodiscard]] std::vector<expected_revision> lock_conditions(const promotion_token& token);

/// @brief Whose process wrote an item of the promotion lock.
enum class promotion_lock_owner : std::uint8_t {
    /// Another host, or an earlier process of this host.
    other,
    /// This process, by its pending claim.
    pending_claim,
    /// This process, by a claim whose result is already known.
    known_claim,
};

/// @brief The claims that this process makes on the promotion lock. They are told apart from those
/// of an earlier process of the same host by the lease that the registry granted for them: the
/// lock's value is the host's id, which a restart keeps.
///
/// When the registry comes back from an older copy, its items and leases are gone, while a former
/// holder that is cut off from it does not learn of that and trusts its lease until it expires. The
/// lock is therefore claimed only once a lease duration has passed since the first answer of the
/// era: every lease of an earlier era began before that answer. A host that has just started cannot
/// know how long the era has lasted, so it waits as well, except in the first era.
class promotion_lock_claim {
public:
    /// Tells the claims of this process apart.
    using claim_number = std::uint64_t;

    /// @brief Passes on the era of the registry's answers.
    /// @return True if this ended a pending claim, as it was made in another era.
    bool on_era(core::time_point now, const std::optional<registry_era>& era);

    /// @param duration Duration of the leases with which hosts hold the lock.
    /// @return Time for which a host may still hold a lock of an earlier era.
    [[nodiscard]] std::chrono::milliseconds
    time_until_claim(core::time_point now, std::chrono::milliseconds duration) const;

    /// @brief Starts a claim.
    /// @param duration Duration of the lease that the claim asks for.
    claim_number start(core::time_point now, std::chrono::milliseconds duration);

    /// @brief Stores the lease that was granted for the pending claim.
    void on_granted(lease_id lease);

    /// @return True from the start of a claim until finish() or the next era.
    [[nodiscard]] bool pending() const noexcept { return sent_at_.has_value(); }

    [[nodiscard]] bool pending(claim_number number) const noexcept {
        return pending() && number == newest_claim_;
    }

    /// @brief The lock's item exists with this revision.
    void on_lock_seen(core::time_point now, registry_revision revision);

    /// @brief The lock's item does not exist, or is not known any more.
    void on_lock_unknown() noexcept { seen_lock_.reset(); }

    /// @return The write that acquires the lock for the host. It replaces an item that was seen a
    /// lease duration ago: nobody holds a lock for longer, but the item may stay. The registry may
    /// execute a claim of an earlier era late, with a lease that it has granted again for something
    /// else.
    [[nodiscard]] write_items claim_of(core::time_point now, const core::host_id& host) const;

    /// @return Who wrote the item, which is the lock's current one.
    [[nodiscard]] promotion_lock_owner owner_of(const registry_item& item,
                                                const core::host_id& host) const;

    /// @brief Ends the pending claim.
    /// @return Time for which the lock is certainly held if the claim was successful. The lease
    /// starts when the call reaches the registry, which is after it was sent. Counting from the
    /// sending therefore never overstates the time left.
    std::chrono::milliseconds finish(core::time_point now);

private:
    /// Empty if no claim is pending.
    std::optional<core::time_point> sent_at_;
    std::chrono::milliseconds duration_{0};
    /// Lease of the newest claim; 0 until it is granted.
    lease_id lease_ = 0;
    claim_number newest_claim_ = 0;

    struct seen_lock {
        registry_revision revision = 0;
        /// Time at which the revision was first seen.
        core::time_point at;
    };

    std::optional<seen_lock> seen_lock_;
    /// Empty until the registry has named an era.
    std::optional<registry_era> era_;
    /// Time at which this process learned of the era.
    core::time_point era_known_since_;
};

} // namespace lovagemoor::proxy
