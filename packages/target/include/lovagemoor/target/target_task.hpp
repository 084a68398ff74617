#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/target/target_settings.hpp>

#include <functional>
#include <memory>

namespace lovagemoor::target {

/// @brief Runs the core's actions on targets: connections, jobs and control calls.
///
/// One thread polls all connections. Events:
/// - connection_opened or connection_closed after open_connection;
/// - any number of job_rows, then one job_finished after run_job, unless the connection is closed
///   by close_connection in between. job_connection_lost also ends the connection, and no
///   connection_closed follows it;
/// - connection_closed when a target closes an idle connection, or when the connection broke
///   after the error of a job was known;
/// - one control_finished after call_control.
class target_task {
public:
    /// @param sink Receives the events; it is called from the task's thread and must not block.
    target_task(const target_settings& settings, std::function<void(core::event)> sink);

    /// @brief Stops the task and closes all connections. No event is sent after it returns.
    ~target_task();

    target_task(const target_task&) = delete;
    target_task& operator=(const target_task&) = delete;
    target_task(target_task&&) = delete;
    target_task& operator=(target_task&&) = delete;

    /// @brief These functions are thread-safe, keep the order of calls and never block.
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
