#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

struct follower_settings {
    /// Maximum duration of a watch. Each watch is a billed call. Keep-alive probes detect dead
    /// connections.
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

    /// @return The call to make now. Empty while a call is pending and until retry_at().
    [[nodiscard]] std::optional<call> next_call(core::time_point now);

    [[nodiscard]] update on_page(core::time_point now, const item_page& page);
    [[nodiscard]] update on_changes(core::time_point now, const item_changes& changes);

    [[nodiscard]] core::time_point retry_at() const noexcept { return retry_at_; }

    /// @return True if the last call succeeded.
    [[nodiscard]] bool connected() const noexcept { return failures_ == 0; }

    [[nodiscard]] const std::string& prefix() const noexcept { return prefix_; }

private:
    void on_failure(core::time_point now);
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
};

} // namespace lovagemoor::proxy
