#pragma once

#include "clock.hpp"
#include "job_runner.hpp"
#include "pg_connection.hpp"

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>

#include <functional>
#include <optional>

namespace lovagemoor::target::internal {

/// @brief Connection to a target that runs one job at a time.
class data_connection {
public:
    data_connection(const target_settings& settings, const core::open_connection& action,
                    const std::function<void(core::event)>& sink, time_point now);

    /// @brief Starts a job. When the connection is not open or runs another job, the job is
    /// reported as job_connection_lost and as not sent.
    void run(core::run_job job);

    /// @brief Continues to open the connection, or the current job, when the socket is ready.
    void handle_ready();

    /// @brief Reports the connection as closed when it was not opened before its deadline.
    void expire(time_point now);

    /// @return The deadline for opening the connection, or time_point::max() once it is open.
    [[nodiscard]] time_point next_expiry() const noexcept {
        return is_open_ ? time_point::max() : deadline_;
    }

    [[nodiscard]] int socket() const noexcept { return connection_.socket(); }

    [[nodiscard]] short poll_events() const noexcept { return connection_.poll_events(); }

    /// @return True when the end of the connection has been reported.
    [[nodiscard]] bool is_closed() const noexcept { return is_closed_; }

private:
    void report_closed(bool capacity);
    void process_job();
    /// @brief Marks the connection as closed after a job that lost it. Reports this unless the
    /// job's result did.
    void close_after_job();

    const target_settings& settings_;
    const std::function<void(core::event)>& sink_;
    core::connection_id id_;
    core::target_id target_;
    pg_connection connection_;
    time_point deadline_;
    bool is_open_ = false;
    bool is_closed_ = false;
    std::optional<job_runner> job_;
};

} // namespace lovagemoor::target::internal
