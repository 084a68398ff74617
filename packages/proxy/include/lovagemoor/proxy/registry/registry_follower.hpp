#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

struct follower_settings {
    /// Maximum duration of a watch. Each watch is a billed call. Keep-alive probes detect dead
    /// connections, but not an answer that the registry lost.
    std::chrono::milliseconds watch_wait{25000};
    /// Maximum duration of a watch after a failure, because a registry that has just failed may
    /// drop the call without closing the connection.
    std::chrono::milliseconds watch_wait_after_failure{1000};
    /// Delay between changes and the next watch, so that one call returns changes that occur close
    /// together.
    std::chrono::milliseconds watch_pause{0};
    /// Upper limit of the delay. The delay doubles while changes arrive within this time of the
    /// previous delay.
    std::chrono::milliseconds watch_pause_max{0};
    /// Interval at which the items are listed again instead of being watched; 0 to watch. For items
    /// with frequent changes that are not urgent.
    std::chrono::milliseconds poll_interval{0};
    /// Interval at which the items are listed while a watch is pending, to notice that its answer
    /// was lost; 0 for never. A list that may be stale is billed at a tenth of a watch.
    std::chrono::milliseconds check_interval{0};
    std::chrono::milliseconds retry_pause{150};
    std::chrono::milliseconds retry_pause_max{600};
};

/// @brief Follows the registry's items below a prefix.
///
/// Lists the items once, then watches their changes. Lists them again if the registry no longer has
/// the history of changes.
class registry_follower {
public:
    using call = std::variant<list_items, watch_items>;

    /// @brief Changes obtained from a call.
    struct update {
        /// The changes are a complete list; items that are not in it were removed.
        bool complete = false;
        std::vector<item_change> changes;
    };

    explicit registry_follower(std::string prefix, follower_settings settings = {});

    /// @brief Abandons the pending call, whose result may be lost because other calls to the
    /// registry failed in the meantime.
    /// @return A follower that continues from the same revision. The result of the abandoned call
    /// must not be passed to it.
    [[nodiscard]] registry_follower restarted(core::time_point now) const;

    /// @brief Starts afresh because the registry has come back from an older copy of its items:
    /// revisions before are not comparable with those after.
    /// @param delay Time until the next call, by which the hosts spread calls that are not urgent.
    /// @return A follower that lists the items. The result of a pending call must not be passed to
    /// it.
    [[nodiscard]] registry_follower restored(core::time_point now, core::duration delay) const;

    /// @return The call to make now. Empty while a call is pending and until retry_at().
    [[nodiscard]] std::optional<call> next_call(core::time_point now);

    /// @brief Continues with a new watch because the answer to the pending one was lost, though the
    /// registry can be reached. The result of the abandoned call must not be passed to the new
    /// follower.
    [[nodiscard]] registry_follower resumed() const;

    /// @return The list with which to check the pending watch now. Empty if no check is due.
    [[nodiscard]] std::optional<list_items> next_check(core::time_point now);

    enum class check_result : std::uint8_t {
        /// The watch has missed nothing, as far as the list tells.
        passed,
        /// The list shows changes that the pending watch should have returned.
        watch_lost,
        /// The registry did not answer. It may have lost the answer to the watch, too.
        failed,
    };

    /// @param page Result of the list that next_check() returned.
    [[nodiscard]] check_result on_check(core::time_point now, const item_page& page);

    [[nodiscard]] update on_page(core::time_point now, const item_page& page);
    [[nodiscard]] update on_changes(core::time_point now, const item_changes& changes);

    [[nodiscard]] core::time_point retry_at() const noexcept { return retry_at_; }

    /// @return True if the last call succeeded.
    [[nodiscard]] bool connected() const noexcept { return failures_ == 0; }

    /// @return Revision from which the next watch continues.
    [[nodiscard]] registry_revision revision() const noexcept { return revision_; }

    [[nodiscard]] const std::string& prefix() const noexcept { return prefix_; }

private:
    void on_failure(core::time_point now);
    void track_keys(const std::vector<item_change>& changes);
    void pause_watching(core::time_point now);

    [[nodiscard]] bool polls() const noexcept { return settings_.poll_interval.count() > 0; }

    std::string prefix_;
    follower_settings settings_;
    bool under_way_ = false;
    bool listing_ = true;
    std::string after_key_;
    registry_revision revision_ = 0;
    unsigned failures_ = 0;
    core::time_point retry_at_;
    core::duration pause_{0};
    /// End of the last delay between changes and the next watch.
    core::time_point paused_until_;
    std::vector<item_change> listed_;
    std::set<std::string> keys_;
    bool checking_ = false;
    /// Time at which the pending watch was last known to have missed nothing.
    core::time_point checked_at_;
    std::string check_after_key_;
    std::set<std::string> checked_keys_;
};

} // namespace lovagemoor::proxy
