#pragma once

#include <lovagemoor/core/time.hpp>

#include <cstddef>

namespace lovagemoor::proxy {

/// @brief A request that waits for a connection, as far as its order depends on it.
struct waiting_request {
    /// 0 is the most urgent.
    unsigned priority = 0;
    core::time_point received;
    core::time_point deadline;
    /// Time by which the caller wants its answer.
    core::time_point preferred_deadline;
    /// Usual time of a statement at the targets.
    core::duration service_time{0};
};

/// @brief Order of service among waiting requests.
///
/// Answers the pattern of a crest: more requests arrive than the targets serve, and a queue in
/// order of arrival answers each of them late. Those that can still be answered in the time their
/// callers want go first, by priority and arrival; those already late follow.
/// @return True if the left request is served first.
[[nodiscard]] bool served_before(const waiting_request& left, const waiting_request& right,
                                 core::time_point now) noexcept;

/// @brief Decides whether a waiting request can still be served.
///
/// Answers the same pattern: a request that cannot be served before its deadline only delays others
/// and its own caller, who may do better elsewhere.
/// @param ahead Requests that are served before it.
/// @param interval Mean time between two requests that leave the queue; 0 if unknown.
[[nodiscard]] bool can_be_served(const waiting_request& request, std::size_t ahead,
                                 core::duration interval, core::time_point now) noexcept;

} // namespace lovagemoor::proxy
