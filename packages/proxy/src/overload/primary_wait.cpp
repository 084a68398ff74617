#include <lovagemoor/proxy/overload/primary_wait.hpp>

namespace lovagemoor::proxy {

bool should_wait_for_primary(const primary_outage& outage) noexcept {
    if (outage.elapsed >= outage.usual_duration) {
        return false;
    }
    if (!outage.registry_reachable) {
        return false;
    }
    // A failover may finish before its usual duration, so even a short remaining time is worth
    // waiting.
    return outage.time_left > core::duration::zero();
}

} // namespace lovagemoor::proxy
