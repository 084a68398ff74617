#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Proves regularly that a host knows the newest configuration.
///
/// A watch that waits proves nothing about the time of its answer if history is lost under it.
/// Therefore each call is a list that may not be stale, or a watch that does not wait and continues
/// from the revision of the last proof.
class configuration_proof {
public:
    using call = std::variant<list_items, watch_items>;

    /// @param interval Time between the sending of a call that proved the configuration and the
    /// next one.
    configuration_proof(std::string prefix, std::chrono::milliseconds interval);

    /// @brief Changes the time between the sending of a call that proved the configuration and the
    /// next one.
    void set_interval(std::chrono::milliseconds interval);

    /// @return The call to make now. Empty while a call is pending or none is due.
    [[nodiscard]] std::optional<call> next_call(core::time_point now);

    /// @brief The configuration was read by another call. It is a single document that supersedes
    /// earlier ones, so that the next proof need not return it again.
    void on_read(registry_revision revision);

    /// @brief What an answer proves.
    struct outcome {
        /// Changes to apply before the configuration counts as proved.
        std::vector<item_change> changes;
        /// Time as of which the configuration is the newest one. Empty if the answer proves
        /// nothing.
        std::optional<core::time_point> as_of;
    };

    [[nodiscard]] outcome on_page(core::time_point now, const item_page& page);
    [[nodiscard]] outcome on_changes(core::time_point now, const item_changes& changes);

    /// @brief The registry has come back from an older copy of its items. The result of a pending
    /// call must not be passed on.
    void on_restored(core::time_point now);

private:
    void on_failure(core::time_point now);
    void on_proved(registry_revision revision);

    /// Delay after a failed call.
    static constexpr std::chrono::milliseconds retry_pause{150};

    std::string prefix_;
    std::chrono::milliseconds interval_;
    bool under_way_ = false;
    /// Revision up to which all changes are known; 0 if the items must be listed.
    registry_revision revision_ = 0;
    /// Revision of the newest document that was read by another call.
    registry_revision read_revision_ = 0;
    core::time_point sent_;
    /// Time at which the call that last proved the configuration was sent.
    std::optional<core::time_point> proved_sent_;
    /// End of the delay after a failed call.
    core::time_point retry_at_;
};

} // namespace lovagemoor::proxy
