#include <lovagemoor/proxy/lending/holder_avoidance.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

void holder_avoidance::on_failed(core::time_point now, const core::host_id& holder) {
    if (avoided(now, holder)) {
        return;
    }
    pause& current = holders_[holder];
    current.length = current.length.count() == 0
                         ? core::duration{first_pause}
                         : std::min<core::duration>(current.length * 2, longest_pause);
    current.until = now + current.length;
}

void holder_avoidance::on_target_failed(core::time_point now, const core::host_id& holder,
                                        const core::target_id& target) {
    targets_[{holder, target}] = now + first_pause;
}

void holder_avoidance::on_answered(core::time_point now, const core::host_id& holder) {
    if (!avoided(now, holder)) {
        holders_.erase(holder);
    }
}

bool holder_avoidance::avoided(core::time_point now, const core::host_id& holder) const {
    const auto found = holders_.find(holder);
    return found != holders_.end() && now < found->second.until;
}

bool holder_avoidance::avoided(core::time_point now, const core::host_id& holder,
                               const core::target_id& target) const {
    const auto found = targets_.find({holder, target});
    return found != targets_.end() && now < found->second;
}

void holder_avoidance::expire(core::time_point now) {
    std::erase_if(targets_, [&](const auto& entry) { return now >= entry.second; });
    // The length of the last pause is kept for a while, in case the holder fails again.
    std::erase_if(holders_,
                  [&](const auto& entry) { return now >= entry.second.until + longest_pause; });
}

} // namespace lovagemoor::proxy
