#pragma once

#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace lovagemoor::core {

inline constexpr std::size_t urgency_count = 3;

/// @brief Safety factor on the expected wait: a request is admitted only if it would still meet its
/// deadline after this multiple of the expected wait. The factor is needed because more urgent
/// requests that arrive later lengthen the wait, and a request that was admitted but cannot finish
/// in time is refused only when its deadline passes.
inline constexpr int admission_wait_margin = 2;

/// @brief Number of queued and running requests of a target per urgency, most urgent first.
struct target_backlog {
    std::array<std::size_t, urgency_count> queued{};
    std::array<std::size_t, urgency_count> running{};
    std::uint32_t slots = 1;
};

/// @brief Admission control of one target: estimates the wait for a slot from measured service
/// times and refuses requests that are not expected to finish before their deadline.
class admission_controller {
public:
    void record_service_time(urgency priority, duration measured) noexcept;

    /// @return Mean service time of requests of this urgency; a default before the first
    /// measurement.
    [[nodiscard]] duration service_time(urgency priority) const noexcept;

    /// @return Estimated time until a new request of this urgency gets a slot. The estimate counts
    /// running requests and queued requests of equal or higher urgency, which are served first.
    [[nodiscard]] duration expected_wait(urgency priority,
                                         const target_backlog& backlog) const noexcept;

    /// @param remaining Time until the request's deadline.
    /// @return Unset when the request is admitted, otherwise the delay after which the caller may
    /// retry.
    [[nodiscard]] std::optional<duration>
    retry_after_if_refused(urgency priority, duration remaining,
                           const target_backlog& backlog) const noexcept;

private:
    std::array<double, urgency_count> mean_us_{};
};

} // namespace lovagemoor::core
