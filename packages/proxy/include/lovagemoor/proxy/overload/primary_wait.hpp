#pragma once

#include <lovagemoor/core/time.hpp>

namespace lovagemoor::proxy {

/// @brief Inputs of should_wait_for_primary().
struct primary_outage {
    /// Time since the primary was last known to serve.
    core::duration elapsed{0};
    /// A promotion needs the registry.
    bool registry_reachable = false;
    /// Time within which a lost primary is usually replaced.
    core::duration usual_duration{0};
    /// Time until the request's deadline.
    core::duration time_left{0};
};

/// @brief Decides whether a request waits until a primary is found.
///
/// If requests waited without limit under a steady load of writes while the primary is lost, each
/// would wait until its deadline and then be refused, and callers' connections would fill up. A
/// request only waits while a new primary can be expected.
[[nodiscard]] bool should_wait_for_primary(const primary_outage& outage) noexcept;

} // namespace lovagemoor::proxy
