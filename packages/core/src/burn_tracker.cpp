#include <lovagemoor/core/burn_tracker.hpp>

namespace lovagemoor::core {

std::int64_t burn_tracker::bucket_number(time_point now, std::size_t window) noexcept {
    const duration length = duration{windows[window]} / buckets_per_window;
    return now.time_since_epoch() / length;
}

void burn_tracker::record(time_point now, const service_id& service, urgency priority, bool good) {
    series& counts = series_[{service, priority}];
    for (std::size_t window = 0; window < windows.size(); ++window) {
        const std::int64_t number = bucket_number(now, window);
        bucket& current = counts[window][static_cast<std::size_t>(number) % buckets_per_window];
        if (current.number != number) {
            current = bucket{number, 0, 0};
        }
        ++(good ? current.good : current.bad);
    }
}

std::vector<burn_entry> burn_tracker::entries(time_point now) const {
    std::vector<burn_entry> result;
    result.reserve(series_.size() * windows.size());
    for (const auto& [key, counts] : series_) {
        for (std::size_t window = 0; window < windows.size(); ++window) {
            burn_entry entry{key.first, key.second, windows[window], 0, 0};
            const std::int64_t oldest =
                bucket_number(now, window) - static_cast<std::int64_t>(buckets_per_window);
            for (const bucket& candidate : counts[window]) {
                if (candidate.number > oldest) {
                    entry.good += candidate.good;
                    entry.bad += candidate.bad;
                }
            }
            result.push_back(std::move(entry));
        }
    }
    return result;
}

} // namespace lovagemoor::core
