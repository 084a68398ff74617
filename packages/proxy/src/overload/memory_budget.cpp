#include <lovagemoor/proxy/overload/memory_budget.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Part of the limit that may be added before the next measurement, so that the cost of a
/// measurement, which visits all sessions, is spread over many messages.
constexpr std::size_t measurement_divisor = 64;

/// Part of the limit that is freed at a time, so that callers are closed in bursts and not one with
/// each message.
constexpr std::size_t relief_divisor = 8;

/// Smallest consumer worth closing. Below it, the memory of the connection itself prevails.
constexpr std::size_t min_evicted_bytes = 4096;

} // namespace

} // namespace internal

memory_budget::memory_budget(memory_limits limits) : limits_{limits} {}

bool memory_budget::measurement_due() const noexcept {
    return limited() && used_ - measured_ >= limits_.total_bytes / internal::measurement_divisor;
}

void memory_budget::measure(core::time_point now, std::size_t used) {
    used_ = used;
    measured_ = used;
    if (used <= threshold()) {
        above_since_.reset();
        return;
    }
    // Memory that shrinks is being freed by statements that are served.
    const std::size_t step = limits_.total_bytes / internal::measurement_divisor;
    if (!above_since_.has_value() || used + step <= lowest_since_) {
        above_since_ = now;
        lowest_since_ = used;
    }
}

bool memory_budget::may_read(std::size_t held, std::size_t wanted,
                             bool in_transaction) const noexcept {
    if (!limited() || used_ + wanted <= threshold()) {
        return true;
    }
    if (held + wanted <= limits_.small_bytes) {
        return used_ + wanted <= limits_.total_bytes;
    }
    return in_transaction && used_ + wanted <= upper_threshold();
}

bool memory_budget::relieved() const noexcept {
    return !limited() || used_ <= threshold() - limits_.total_bytes / internal::measurement_divisor;
}

std::vector<session_id> memory_budget::choose_evicted(core::time_point now,
                                                      std::vector<memory_consumer> consumers) {
    const std::size_t wanted = threshold() - limits_.total_bytes / internal::relief_divisor;
    const bool urgent = used_ > upper_threshold();
    const bool overdue = above_since_.has_value() && now - *above_since_ >= limits_.relief_time;
    if (!limited() || !(urgent || overdue)) {
        return {};
    }
    std::erase_if(consumers, [this](const memory_consumer& consumer) {
        return consumer.bytes < internal::min_evicted_bytes ||
               (consumer.in_transaction &&
                (consumer.working || consumer.without_progress < limits_.progress_time));
    });
    std::sort(consumers.begin(), consumers.end(),
              [](const memory_consumer& left, const memory_consumer& right) {
                  return std::make_pair(left.working, right.bytes) <
                         std::make_pair(right.working, left.bytes);
              });
    std::vector<session_id> evicted;
    for (const memory_consumer& consumer : consumers) {
        if (used_ <= wanted) {
            break;
        }
        used_ -= std::min(used_, consumer.bytes);
        evicted.push_back(consumer.session);
    }
    measured_ = used_;
    above_since_.reset();
    return evicted;
}

} // namespace lovagemoor::proxy
