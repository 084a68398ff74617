#pragma once

#include <lovagemoor/core/telemetry_event.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/link/host_link.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor {

/// @brief Counts the bytes that a host exchanges with other hosts and reads from the registry, by
/// purpose, so that logs and metrics show what fills its network link.
class traffic_report {
public:
    enum class purpose : std::uint8_t { lending, relay, quota, control, registry };

    void add(link::frame::BodyCase kind, link::transfer_direction direction, std::size_t bytes);
    void add_registry_answer(std::size_t bytes);

    /// @brief Passes on the counts once the interval has passed.
    /// @param unsent Bytes that wait to be sent to other hosts.
    /// @return A line for the log if there was much traffic.
    [[nodiscard]] std::optional<core::log_event>
    take(core::time_point now, std::size_t unsent,
         const std::function<void(const core::count_metric&)>& count);

private:
    static constexpr std::chrono::seconds interval{5};
    /// A tenth of what a network link of 10 Mbit/s, the smallest of the reference deployments,
    /// carries in the interval.
    static constexpr std::size_t logged_bytes = 625000;
    static constexpr std::size_t purposes = 5;

    struct transferred {
        std::size_t sent = 0;
        std::size_t received = 0;
    };

    std::array<transferred, purposes> transferred_{};
    core::time_point taken_at_;
};

} // namespace lovagemoor
