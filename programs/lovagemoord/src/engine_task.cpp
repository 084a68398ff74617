#include "engine_task.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace lovagemoor {

namespace internal {

using steady_clock = std::chrono::steady_clock;

/// Limit on one wait, so that a wakeup time of "never" does not overflow the clock's arithmetic.
constexpr std::chrono::seconds max_sleep{1};

core::time_point current_time() {
    return core::time_point{std::chrono::duration_cast<std::chrono::microseconds>(
        steady_clock::now().time_since_epoch())};
}

steady_clock::time_point to_steady(core::time_point time) {
    const core::time_point latest = std::min(time, current_time() + max_sleep);
    return steady_clock::time_point{latest.time_since_epoch()};
}

} // namespace internal

engine_task::engine_task(const core::core_settings& settings, core::engine_identity identity,
                         event_mailbox& inbox, std::function<void(const core::action&)> perform)
    : engine_{settings, std::move(identity)}, inbox_{inbox}, perform_{std::move(perform)} {
    thread_ = std::thread{[this] { run(); }};
}

engine_task::~engine_task() {
    inbox_.close();
    thread_.join();
}

void engine_task::run() {
    perform_all(engine_.start(internal::current_time()));
    while (!inbox_.closed()) {
        const core::time_point wakeup = engine_.next_wakeup();
        std::optional<core::event> next = inbox_.wait_until(internal::to_steady(wakeup));
        if (next.has_value()) {
            perform_all(engine_.handle(internal::current_time(), *next));
        }
        // The timers are checked after each event too, so that events do not delay them under load.
        if (engine_.next_wakeup() <= internal::current_time()) {
            perform_all(engine_.handle(internal::current_time(), core::timer_expired{}));
        }
    }
}

void engine_task::perform_all(const core::action_list& actions) {
    for (const core::action& value : actions) {
        if (std::holds_alternative<core::stop_process>(value)) {
            finished_ = true;
        } else {
            perform_(value);
        }
    }
}

} // namespace lovagemoor
