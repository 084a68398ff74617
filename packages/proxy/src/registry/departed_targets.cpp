#include <lovagemoor/proxy/registry/departed_targets.hpp>

namespace lovagemoor::proxy {

void departed_targets::remember(const departed_target& target) {
    targets_.insert_or_assign(target.record.id, target);
}

const departed_targets::departed_target*
departed_targets::find(const core::target_id& target) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : &found->second;
}

void departed_targets::erase(const core::target_id& target) {
    targets_.erase(target);
}

void departed_targets::expire(core::time_point now) {
    std::erase_if(targets_,
                  [now](const auto& entry) { return now - entry.second.left_at > retention; });
}

} // namespace lovagemoor::proxy
