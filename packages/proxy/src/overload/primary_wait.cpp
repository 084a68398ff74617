#include <lovagemoor/proxy/overload/primary_wait.hpp>

namespace lovagemoor::proxy {

bool holds_for_primary(const primary_absence& absence) noexcept {
    if (absence.gap >= absence.usual_gap) {
        return false;
    }
    if (!absence.registry_reachable) {
        return false;
    }
    // A replacement that usually comes after the request's time may still come sooner.
    return absence.time_left > core::duration::zero();
}

} // namespace lovagemoor::proxy
