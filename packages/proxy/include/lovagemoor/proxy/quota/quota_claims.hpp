#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/quota/quota_share.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Claims free quota slots in the registry for this host and knows the owners of all slots.
///
/// A slot is claimed by a write on the condition that the slot's item does not exist. The item
/// depends on the lease of the host's registration.
class quota_claims {
public:
    /// @param lease_duration Duration of the lease. After the registry has come back from an older
    /// copy, the owner of a lost item may consider itself the owner for this long.
    quota_claims(core::host_id host, std::chrono::milliseconds lease_duration);

    /// @brief Must be called with the era of the registry's answers whenever it may have changed.
    void on_era(core::time_point now, const std::optional<registry_era>& era);

    /// @param lease Lease of the host's registration; 0 if it has none.
    void on_lease(lease_id lease);

    void on_hosts(std::vector<core::host_id> hosts);

    /// @brief All items of slots.
    void on_listed(core::time_point now, const std::vector<registry_item>& items);
    void on_changed(core::time_point now, const item_change& change);

    /// @brief Stops claiming. The slots of this host count as given up.
    void stop();

    struct claim {
        quota_slot slot = 0;
        lease_id lease = 0;
        write_items call;
    };

    /// @return The claims to send now.
    [[nodiscard]] std::vector<claim> next_claims(core::time_point now);

    /// @brief Result of a claim. Must not be called for claims sent in an earlier era.
    void on_written(core::time_point now, const claim& sent, const write_outcome& outcome);

    struct release {
        quota_slot slot = 0;
        write_items call;
    };

    /// @brief Gives up a slot if this host owns many more than its part, as the first host of a
    /// deployment does that claims all slots. Usually the host that ranks first claims it then.
    ///
    /// The slot counts as given up from now on, whatever becomes of the write.
    /// @return The write that removes the slot's item. It is repeated until it is answered.
    [[nodiscard]] std::optional<release> next_release(core::time_point now);

    /// @brief Result of a release. Must not be called for one sent in an earlier era.
    void on_released(const release& sent, const write_outcome& outcome);

    /// @return True if the slot's item names this host and depends on its present lease.
    [[nodiscard]] bool owns(quota_slot slot) const;

    /// @return Empty if no owner is known.
    [[nodiscard]] std::optional<core::host_id> owner_of(quota_slot slot) const;

    /// @return The write that removes the items of this host's slots; empty if it owns none. Must
    /// be called before stop().
    [[nodiscard]] std::optional<write_items> removal() const;

    /// Delay after a claim that failed or was not answered.
    static constexpr std::chrono::milliseconds retry_pause{500};
    /// Delay between releases, so that an organisation lacks one owner at a time.
    static constexpr std::chrono::milliseconds release_pause{1000};
    /// Time for which this host leaves a slot that it released to others.
    static constexpr std::chrono::milliseconds released_time{5000};
    /// Multiple of its part of the slots that a host keeps.
    static constexpr std::size_t kept_multiple = 2;

private:
    struct slot_state {
        std::optional<registry_item> item;
        /// Time since which the slot is known to be free.
        std::optional<core::time_point> free_since;
        core::time_point retry_at;
        bool pending = false;
        /// Revision of the item that this host gave up. The item may still be in lists; another
        /// host may own the slot already.
        registry_revision released_revision = 0;
        /// The removal of the item has not been answered.
        bool releasing = false;
    };

    core::host_id host_;
    std::chrono::milliseconds lease_duration_;
    std::array<slot_state, quota_slot_count> slots_;
    std::vector<core::host_id> hosts_;
    std::optional<registry_era> era_;
    core::time_point era_known_since_;
    lease_id lease_ = 0;
    core::time_point release_at_;
    bool listed_ = false;
    bool stopped_ = false;
};

} // namespace lovagemoor::proxy
