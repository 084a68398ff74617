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
    /// drop the call without closing the connection. Two such watches with the time limit of a call
    /// and the longest pause between them end within 3 s, the tightest bound of the reference
    /// deployments; of 1 s each, they took 3.4 s.
    std::chrono::milliseconds watch_wait_after_failure{500};
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
    /// Time until the next check after one that proved the state of a second ago, while calls to
    /// the registry are disturbed.
    std::chrono::milliseconds check_interval_disturbed{1200};
    /// Time for which calls to the registry count as disturbed after one had no answer or history
    /// was lost. Lists that may be stale were seen 5.5 s behind in such a time (compact-317), and
    /// are taken to be at most 10 s behind.
    std::chrono::milliseconds disturbance_duration{10000};
    /// A watch that has been pending for longer and finds its history gone has outlived the history
    /// that the registry keeps (20 s in the reference deployments; a watch takes up to 25 s). Only
    /// an earlier loss counts as a disturbance.
    std::chrono::milliseconds history_loss_age{5000};
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

    /// @brief As resumed(), but the new watch continues after a change that was read by another
    /// call and is not to be returned again.
    /// @pre The change is the last one of all followed items up to its revision.
    [[nodiscard]] registry_follower resumed_after(const item_change& read) const;

    /// @brief A call of this host had no answer or the registry has lost its history. For a while,
    /// a list that may be stale is not enough to check the pending watch.
    void on_disturbance(core::time_point now);

    /// @param recent A revision that the registry had at most a second ago; empty if none is known.
    /// Not needed unless calls are disturbed.
    /// @return The list with which to check the pending watch now. Empty if no check is due. It may
    /// be stale unless calls are disturbed and a stale list proves nothing.
    [[nodiscard]] std::optional<list_items>
    next_check(core::time_point now, const std::optional<registry_revision>& recent = {});

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

    /// @return True if the loss of history under the pending watch counts as a disturbance.
    [[nodiscard]] bool lost_history_early(core::time_point now) const;

    /// @return Revision from which the next watch continues.
    [[nodiscard]] registry_revision revision() const noexcept { return revision_; }

    [[nodiscard]] const std::string& prefix() const noexcept { return prefix_; }

private:
    void on_failure(core::time_point now, registry_status status);
    void track(const std::vector<item_change>& changes);

    [[nodiscard]] bool is_watching() const noexcept { return under_way_ && !listing_; }

    [[nodiscard]] check_result on_mismatch(core::time_point now, bool list_again);
    void on_match(core::time_point now);
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
    /// Revision of the last change of each item, as far as it was listed or watched.
    std::map<std::string, registry_revision> known_;
    /// Highest revision among the known changes; a list below it is older than they are.
    registry_revision applied_ = 0;
    /// Time at which history was last lost.
    std::optional<core::time_point> history_lost_at_;
    core::time_point disturbed_until_;
    /// Time at which the pending watch was requested.
    core::time_point watching_since_;

    bool checking_ = false;
    /// Changes arrived since the list of the pending check was requested.
    bool check_outdated_ = false;
    /// The pending check or its next page may not be stale.
    bool check_is_exact_ = false;
    /// The last check proved nothing, so that the next one is due and may not be stale.
    bool exact_check_due_ = false;
    /// The pending check proves nothing below this revision.
    registry_revision check_floor_ = 0;
    bool check_is_recent_ = false;
    core::duration check_pause_{0};
    /// Time at which the pending watch was last known to have missed nothing.
    core::time_point checked_at_;
    std::string check_after_key_;
    std::set<std::string> checked_keys_;
    /// The last check found a removal, which may have been under way.
    bool removal_missed_ = false;
    /// The next watch would not return what a check found missing.
    bool list_again_ = false;
};

} // namespace lovagemoor::proxy
