#include <lovagemoor/proxy/overload/primary_wait.hpp>

namespace lovagemoor::proxy {

bool should_wait_for_primary(const primary_outage& outage) noexcept {
    if (outage.elapsed >= outage.usual_duration) {
        return false;
    }
    if (!outage.registry_reachable) {
        return false;
    }
    // A replacement that usually comes after the request's time may still come sooner.
    return outage.time_left > core::duration::zero();
}

} // namespace lovagemoor::proxy
