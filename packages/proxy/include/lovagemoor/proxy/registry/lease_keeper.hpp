#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

struct grant_lease {
    std::chrono::milliseconds duration{0};
};

struct renew_lease {
    lease_id lease = 0;
};

/// @brief Keeps items in the registry for the lifetime of this process by renewing their lease.
class lease_keeper {
public:
    using call = std::variant<grant_lease, renew_lease, write_items>;

    lease_keeper(std::string key, std::string value, std::chrono::milliseconds duration);

    /// @brief Keeps a further item. Call it before the first call of next_call().
    void add_item(std::string key, std::string value);

    /// @return The call to make now. Empty while a call is pending or none is due.
    [[nodiscard]] std::optional<call> next_call(core::time_point now);

    void on_lease(core::time_point now, const lease_outcome& outcome);
    void on_written(core::time_point now, const write_outcome& outcome);

    /// @brief The item was removed from the registry although this process is still running.
    void on_lost(core::time_point now);

    /// @brief The registry has come back from an older copy of its items: the lease and the item
    /// are gone. The result of a pending call must not be passed on, because the registry may have
    /// given the lease's id to another host.
    /// @param delay Time until the next call, by which the hosts spread their calls.
    void on_restored(core::time_point now, core::duration delay);

    /// @return The lease to which the item is attached; 0 if there is none.
    [[nodiscard]] lease_id lease() const noexcept { return lease_; }

private:
    enum class stage : std::uint8_t { no_lease, not_written, kept };

    [[nodiscard]] write_items write_of_items() const;
    /// @brief Completes the pending call. After a failure, schedules the next call.
    /// @return True if the call succeeded.
    [[nodiscard]] bool succeeded(core::time_point now, registry_status status);

    struct kept_item {
        std::string key;
        std::string value;
    };

    std::vector<kept_item> items_;
    std::chrono::milliseconds duration_;
    stage stage_ = stage::no_lease;
    lease_id lease_ = 0;
    bool under_way_ = false;
    core::time_point due_;
};

} // namespace lovagemoor::proxy
