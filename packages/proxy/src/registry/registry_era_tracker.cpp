#include <lovagemoor/proxy/registry/registry_era_tracker.hpp>

#include <utility>

namespace lovagemoor::proxy {

registry_era_tracker::assignment
registry_era_tracker::assign(const std::optional<registry_era>& era) {
    if (era == current_) {
        return assignment::current;
    }
    if (!era.has_value() || (current_.has_value() && *era < *current_)) {
        return assignment::outdated;
    }
    const bool is_first = !std::exchange(current_, era).has_value();
    return is_first ? assignment::current : assignment::newer;
}

} // namespace lovagemoor::proxy
