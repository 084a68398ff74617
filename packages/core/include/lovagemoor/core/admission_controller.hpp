#pragma once

#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace lovagemoor::core {

inline constexpr std::size_t urgency_count = 3;

/// @brief A request is admitted only if it would meet its deadline after this multiple of the
/// expected wait. More urgent requests that arrive later lengthen the wait, and a request that is
/// admitted in vain is refused only at its deadline.
inline constexpr int admission_wait_margin = 2;

/// @brief Waiting and running requests of a target per urgency, most urgent first.
struct target_backlog {
    std::array<std::size_t, urgency_count> queued{};
    std::array<std::size_t, urgency_count> running{};
    std::uint32_t slots = 1;
};

/// @brief Expects the wait for a slot from measured service times and refuses requests that cannot
/// finish before their deadline.
class admission_controller {
public:
    void record_service_time(urgency priority, duration measured) noexcept;

    /// @return Mean service time of the class; a default before the first measurement.
    [[nodiscard]] duration service_time(urgency priority) const noexcept;

    /// @return Time until a new request of the class gets a slot. Only work that is served before
    /// it counts: equal or higher urgency, and what is running.
    [[nodiscard]] duration expected_wait(urgency priority,
                                         const target_backlog& backlog) const noexcept;

    /// @param remaining Time until the request's deadline.
    /// @return Unset when the request is admitted, else when it may be tried again.
    [[nodiscard]] std::optional<duration>
    retry_after_if_refused(urgency priority, duration remaining,
                           const target_backlog& backlog) const noexcept;

private:
    std::array<double, urgency_count> mean_us_{};
};

} // namespace lovagemoor::core
