#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <utility>

namespace lovagemoor::standin_target {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

/// @brief Runs functions at scheduled times.
class timer_queue {
public:
    void schedule(time_point due, std::function<void()> action) {
        timers_.emplace(due, std::move(action));
    }

    /// @brief Runs all due functions, earliest first.
    void run_due(time_point now) {
        while (!timers_.empty() && timers_.begin()->first <= now) {
            const std::function<void()> action = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            action();
        }
    }

    /// @return Time of the earliest function, time_point::max() if the queue is empty.
    [[nodiscard]] time_point next_due() const {
        return timers_.empty() ? time_point::max() : timers_.begin()->first;
    }

private:
    std::multimap<time_point, std::function<void()>> timers_;
};

} // namespace lovagemoor::standin_target
