#include <lovagemoor/core/admission_controller.hpp>

#include <algorithm>

namespace lovagemoor::core {

namespace internal {

/// Weight of a new measurement in the moving average, which follows a change of load within about
/// ten requests.
constexpr double service_time_weight = 0.1;
/// Service time in microseconds that is assumed before the first measurement of an urgency.
constexpr double default_service_time_us = 2'000;
constexpr duration min_retry_after = std::chrono::milliseconds{5};

constexpr std::size_t index_of(urgency priority) noexcept {
    return static_cast<std::size_t>(priority);
}

} // namespace internal

void admission_controller::record_service_time(urgency priority, duration measured) noexcept {
    double& mean = mean_us_[internal::index_of(priority)];
    const double sample = std::max(1.0, static_cast<double>(measured.count()));
    mean = mean == 0 ? sample : mean + internal::service_time_weight * (sample - mean);
}

duration admission_controller::service_time(urgency priority) const noexcept {
    const double mean = mean_us_[internal::index_of(priority)];
    return duration{
        static_cast<duration::rep>(mean == 0 ? internal::default_service_time_us : mean)};
}

duration admission_controller::expected_wait(urgency priority,
                                             const target_backlog& backlog) const noexcept {
    const std::size_t bulk = internal::index_of(urgency::bulk);
    const std::size_t slots = std::max<std::uint32_t>(1, backlog.slots);
    const std::size_t bulk_slots = std::max<std::size_t>(1, slots - 1);
    const std::size_t bulk_running = backlog.running[bulk];
    std::size_t running = 0;
    std::size_t queued_before = 0;
    duration work{0};
    for (std::size_t index = 0; index < urgency_count; ++index) {
        const duration mean = service_time(static_cast<urgency>(index));
        running += backlog.running[index];
        // Bulk work leaves one slot free for short work, so short work waits for running bulk work
        // only if the target has a single slot.
        const bool blocks = index != bulk || priority == urgency::bulk || slots == 1;
        // On average, half of a running statement's time is still left.
        work +=
            blocks ? mean * static_cast<duration::rep>(backlog.running[index]) / 2 : duration{0};
        if (index <= internal::index_of(priority)) {
            queued_before += backlog.queued[index];
            work += mean * static_cast<duration::rep>(backlog.queued[index]);
        }
    }
    const bool is_bulk = priority == urgency::bulk;
    const bool may_start = running < slots && (!is_bulk || bulk_running < bulk_slots);
    if (may_start && queued_before == 0) {
        return duration{0};
    }
    const std::size_t usable = is_bulk ? bulk_slots : slots - std::min(bulk_running, slots - 1);
    return work / static_cast<duration::rep>(usable);
}

std::optional<duration>
admission_controller::retry_after_if_refused(urgency priority, duration remaining,
                                             const target_backlog& backlog) const noexcept {
    const duration wait = expected_wait(priority, backlog);
    const duration finish = admission_wait_margin * wait + service_time(priority);
    if (wait == duration{0} || finish <= remaining) {
        return std::nullopt;
    }
    return std::max<duration>(internal::min_retry_after, finish - remaining);
}

} // namespace lovagemoor::core
