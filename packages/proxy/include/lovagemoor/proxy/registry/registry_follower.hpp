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
    /// Longest time that a watch waits; each watch is a paid call. Silent connections are found by
    /// keep-alive probes.
    std::chrono::milliseconds watch_wait{25000};
    /// The same after a failure: a registry that has just failed may lose the call without a sign.
    std::chrono::milliseconds watch_wait_after_failure{1000};
    /// Pause after changes before the next watch, so that changes that come together take one call.
    std::chrono::milliseconds watch_pause{0};
    /// The pause doubles up to this while changes follow each other within this time.
    std::chrono::milliseconds watch_pause_max{0};
    /// The items are listed anew after this time instead of watched; 0 to watch. For items whose
    /// changes are many and not urgent.
    std::chrono::milliseconds poll_interval{0};
    std::chrono::milliseconds retry_pause{150};
    std::chrono::milliseconds retry_pause_max{600};
};

/// @brief Keeps a copy of the registry's items below a prefix: lists them once, then follows their
/// changes, and lists them again when the history of changes was lost.
class registry_follower {
public:
    using call = std::variant<list_items, watch_items>;

    /// @brief What a result told.
    struct update {
        /// The items are complete; what is missing was removed.
        bool complete = false;
        std::vector<item_change> changes;
    };

    explicit registry_follower(std::string prefix, follower_settings settings = {});

    /// @brief Gives up the call under way, as its result may be lost. Other calls to the registry
    /// failed meanwhile.
    /// @return A follower that continues from the same revision; results of the former call must
    /// not be given to it.
    [[nodiscard]] registry_follower restarted(core::time_point now) const;

    /// @return The call to make now; nothing while one is under way or until retry_at().
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
    /// When the last pause ended.
    core::time_point paused_until_;
    std::vector<item_change> listed_;
};

} // namespace lovagemoor::proxy
