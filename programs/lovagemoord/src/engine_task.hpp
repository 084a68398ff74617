#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/engine.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/telemetry/mailbox.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace lovagemoor {

/// @brief Runs the engine on its own thread. The engine takes events from a mailbox, and its
/// actions are passed to a function.
class engine_task {
public:
    using event_mailbox = telemetry::mailbox<core::event>;

    /// @param inbox Mailbox with the events of all drivers; must outlive the task.
    /// @param perform Called on the task's thread for each action except stop_process.
    engine_task(const core::core_settings& settings, core::engine_identity identity,
                event_mailbox& inbox, std::function<void(const core::action&)> perform);

    engine_task(const engine_task&) = delete;
    engine_task& operator=(const engine_task&) = delete;
    engine_task(engine_task&&) = delete;
    engine_task& operator=(engine_task&&) = delete;

    /// @brief Closes the mailbox and waits until the thread has handled its current event.
    ~engine_task();

    /// @return True once the engine has asked to stop the process.
    [[nodiscard]] bool finished() const noexcept { return finished_; }

private:
    void run();
    void perform_all(const core::action_list& actions);

    core::engine engine_;
    event_mailbox& inbox_;
    std::function<void(const core::action&)> perform_;
    std::atomic<bool> finished_{false};
    std::thread thread_;
};

} // namespace lovagemoor
