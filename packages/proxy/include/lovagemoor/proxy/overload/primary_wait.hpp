#pragma once

#include <lovagemoor/core/time.hpp>

namespace lovagemoor::proxy {

/// @brief What the decision to hold a request for a primary depends on.
struct primary_outage {
    /// Time since the primary was last known to serve.
    core::duration elapsed{0};
    /// Promotions need the registry.
    bool registry_reachable = false;
    /// Time within which a lost primary is usually replaced.
    core::duration usual_duration{0};
    /// Time left to the request.
    core::duration time_left{0};
};

/// @brief Decides whether a request is held until a primary is found.
///
/// Answers the pattern of a steady load of writes on a service that has lost its primary: held
/// without limit, each request waits for its whole time and is refused in the end, and callers'
/// connections fill up. A request is held only while a replacement can be expected within its time.
[[nodiscard]] bool should_wait_for_primary(const primary_outage& outage) noexcept;

} // namespace lovagemoor::proxy
