#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace lovagemoor::proxy {

struct grant_lease {
    std::chrono::milliseconds duration{0};
};

struct renew_lease {
    lease_id lease = 0;
};

/// @brief Keeps an item in the registry as long as this process lives.
class lease_keeper {
public:
    using call = std::variant<grant_lease, renew_lease, write_items>;

    lease_keeper(std::string key, std::string value, std::chrono::milliseconds duration);

    /// @return The call to make now; nothing while one is under way or none is due.
    [[nodiscard]] std::optional<call> next_call(core::time_point now);

    void on_lease(core::time_point now, const lease_outcome& outcome);
    void on_written(core::time_point now, const write_outcome& outcome);

    /// @brief The item was removed from the registry although this process lives.
    void on_lost(core::time_point now);

    /// @return The lease that ends with this process; 0 while there is none.
    [[nodiscard]] lease_id lease() const noexcept { return lease_; }

private:
    enum class stage : std::uint8_t { no_lease, not_written, kept };

    /// @brief Ends a call; after a failure it says when and with what to go on.
    [[nodiscard]] bool succeeded(core::time_point now, registry_status status);

    std::string key_;
    std::string value_;
    std::chrono::milliseconds duration_;
    stage stage_ = stage::no_lease;
    lease_id lease_ = 0;
    bool under_way_ = false;
    core::time_point due_;
};

} // namespace lovagemoor::proxy
