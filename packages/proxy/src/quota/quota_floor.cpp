#include <lovagemoor/proxy/quota/quota_floor.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

quota_floor_hosts::quota_floor_hosts(core::host_id host, std::chrono::milliseconds window,
                                     std::chrono::milliseconds lease_duration)
    : host_{std::move(host)}, window_{window}, lease_duration_{lease_duration} {}

void quota_floor_hosts::on_lease_renewed(core::time_point sent) {
    const core::time_point until = sent + lease_duration_ - lease_margin;
    certain_until_ = std::max(certain_until_.value_or(until), until);
}

void quota_floor_hosts::on_lease_lost() {
    certain_until_.reset();
    listed_since_.reset();
}

void quota_floor_hosts::on_listed(core::time_point now, const std::vector<core::host_id>& hosts) {
    if (!fresh_since_.has_value() || now - last_list_ > list_age_limit - list_staleness) {
        fresh_since_ = now;
    }
    last_list_ = now;
    for (auto& [known, missing_since] : hosts_) {
        if (!missing_since.has_value() &&
            std::find(hosts.begin(), hosts.end(), known) == hosts.end()) {
            missing_since = now;
        }
    }
    bool listed = false;
    for (const core::host_id& host : hosts) {
        hosts_[host].reset();
        listed = listed || host == host_;
    }
    if (!listed) {
        listed_since_.reset();
    } else if (!listed_since_.has_value()) {
        listed_since_ = now;
    }
    std::erase_if(hosts_, [&](const auto& entry) {
        return entry.second.has_value() && now - *entry.second > window_;
    });
}

quota_floor quota_floor_hosts::floor(core::time_point now) const {
    if (!certain_until_.has_value() || !listed_since_.has_value() || !fresh_since_.has_value() ||
        now - *listed_since_ < list_age_limit + window_ || now - *fresh_since_ < window_) {
        return {};
    }
    const core::time_point until =
        std::min(*certain_until_, last_list_ + list_age_limit - list_staleness);
    return now < until ? quota_floor{hosts_.size(), until} : quota_floor{};
}

} // namespace lovagemoor::proxy
