#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/target/target_settings.hpp>

#include <functional>
#include <memory>

namespace lovagemoor::target {

/// @brief Performs the core's actions on targets: opens and closes connections, runs jobs and makes
/// control calls.
///
/// One thread polls all connections. It reports these events:
/// - After open_connection, either connection_opened or connection_closed.
/// - After run_job, any number of job_rows and then one job_finished, unless close_connection
/// closes
///   the connection before that. The result job_connection_lost also ends the connection, and no
///   connection_closed follows it.
/// - connection_closed when a target closes an idle connection, or when the connection breaks after
///   the error of a job is known.
/// - After call_control, one control_finished.
class target_task {
public:
    /// @param sink Is called with each event on the task's thread and must not block.
    target_task(const target_settings& settings, std::function<void(core::event)> sink);

    /// @brief Stops the thread and closes all connections. The sink is not called after the
    /// destructor returns.
    ~target_task();

    target_task(const target_task&) = delete;
    target_task& operator=(const target_task&) = delete;
    target_task(target_task&&) = delete;
    target_task& operator=(target_task&&) = delete;

    /// @brief Queues an action. Actions are performed in the order of the calls. Thread-safe; never
    /// blocks.
    /// @{
    void perform(const core::open_connection& action);
    void perform(const core::close_connection& action);
    void perform(const core::run_job& action);
    void perform(const core::call_control& action);
    /// @}

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::target
