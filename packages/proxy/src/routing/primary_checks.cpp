#include <lovagemoor/proxy/routing/primary_checks.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

void primary_checks::record(core::time_point sent, replication_position position) {
    const auto after = std::upper_bound(
        checks_.begin(), checks_.end(), sent,
        [](core::time_point time, const check& entry) { return time < entry.sent; });
    const bool last = after == checks_.end();
    if (last && checks_.size() >= 2 && sent - checks_[checks_.size() - 2].sent < min_spacing) {
        checks_.back() = check{sent, position};
    } else {
        checks_.insert(after, check{sent, position});
    }
    while (checks_.back().sent - checks_.front().sent > max_age) {
        checks_.pop_front();
    }
}

std::optional<primary_checks::check>
primary_checks::find(core::time_point acknowledged_before) const {
    const auto first = std::lower_bound(
        checks_.begin(), checks_.end(), acknowledged_before,
        [](const check& entry, core::time_point time) { return entry.sent < time; });
    return first == checks_.end() ? std::nullopt : std::optional<check>{*first};
}

std::optional<replication_position>
primary_checks::bound(core::time_point acknowledged_before) const {
    const std::optional<check> found = find(acknowledged_before);
    return found.has_value() ? std::optional<replication_position>{found->position} : std::nullopt;
}

std::optional<core::time_point> primary_checks::newest() const {
    return checks_.empty() ? std::nullopt : std::optional<core::time_point>{checks_.back().sent};
}

std::optional<primary_checks::check> primary_checks::newest_check() const {
    return checks_.empty() ? std::nullopt : std::optional<check>{checks_.back()};
}

} // namespace lovagemoor::proxy
