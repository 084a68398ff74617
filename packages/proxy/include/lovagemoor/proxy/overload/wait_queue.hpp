#pragma once

#include <lovagemoor/core/time.hpp>

#include <cstddef>

namespace lovagemoor::proxy {

/// @brief Scheduling attributes of a request that waits for a connection.
struct waiting_request {
    /// 0 is the most urgent.
    unsigned priority = 0;
    core::time_point received;
    core::time_point deadline;
    /// Arrival time plus the latency objective.
    core::time_point preferred_deadline;
    /// Average execution time of a statement at the targets.
    core::duration service_time{0};
};

/// @brief Orders waiting requests.
///
/// If more requests arrive than the targets can serve, a first-come, first-served queue answers
/// every request late. Requests that can still meet their preferred deadline are served first, by
/// priority and time of arrival. Late requests follow.
/// @return True if the left request is served first.
[[nodiscard]] bool served_before(const waiting_request& left, const waiting_request& right,
                                 core::time_point now) noexcept;

/// @brief Decides whether a waiting request can still be served.
///
/// A request that cannot be served before its deadline delays other requests and its own caller,
/// who may succeed at another host.
/// @param ahead Number of requests that are served before this one.
/// @param interval Average time between two requests that leave the queue; 0 if unknown.
[[nodiscard]] bool can_be_served(const waiting_request& request, std::size_t ahead,
                                 core::duration interval, core::time_point now) noexcept;

} // namespace lovagemoor::proxy
