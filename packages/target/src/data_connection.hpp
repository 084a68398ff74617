#pragma once

#include "clock.hpp"
#include "job_runner.hpp"
#include "pg_connection.hpp"

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>

#include <functional>
#include <optional>

namespace lovagemoor::target::internal {

/// @brief Connection that runs jobs, one at a time.
class data_connection {
public:
    data_connection(const target_settings& settings, const core::open_connection& action,
                    const std::function<void(core::event)>& sink, time_point now);

    /// @brief Starts a job; without an open connection it is reported as lost and not sent.
    void run(core::run_job job);

    /// @brief Handles a ready socket.
    void handle_ready();

    /// @brief Gives up when the connection could not be opened in time.
    void expire(time_point now);

    /// @return time_point::max() when nothing can expire.
    [[nodiscard]] time_point next_expiry() const noexcept {
        return is_open_ ? time_point::max() : deadline_;
    }

    [[nodiscard]] int socket() const noexcept { return connection_.socket(); }

    [[nodiscard]] short poll_events() const noexcept { return connection_.poll_events(); }

    /// @return True when the end of the connection was reported.
    [[nodiscard]] bool is_closed() const noexcept { return is_closed_; }

private:
    void report_closed(bool capacity);
    void process_job();
    /// @brief Closes the connection after a job whose end was reported.
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
