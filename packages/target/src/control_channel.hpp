#pragma once

#include "clock.hpp"
#include "pg_connection.hpp"

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::target::internal {

/// @brief One control connection to a target; its calls run one after the other.
class control_channel {
public:
    control_channel(const target_settings& settings, core::target_record target,
                    const std::function<void(core::event)>& sink);

    /// @brief Queues a call, opening the connection if there is none. A new address of the target
    /// replaces the connection.
    void add(const core::call_control& call, time_point now);

    /// @brief Handles a ready socket.
    void handle_ready(time_point now);

    /// @brief Reports calls that timed out and closes a connection that was idle for long.
    void expire(time_point now);

    /// @return time_point::max() when nothing can expire.
    [[nodiscard]] time_point next_expiry() const;

    /// @return -1 without a connection.
    [[nodiscard]] int socket() const noexcept { return connection_ ? connection_->socket() : -1; }

    [[nodiscard]] short poll_events() const noexcept { return connection_->poll_events(); }

    /// @return True when the channel has neither calls nor a connection.
    [[nodiscard]] bool is_unused() const noexcept { return calls_.empty() && !connection_; }

private:
    struct queued_call {
        core::call_control call;
        time_point deadline;
    };

    void open(time_point now);
    void close();
    void continue_opening();
    void send_next_call();
    void read_results(time_point now);
    void handle_result(const PGresult* result);
    void finish_first_call(core::control_result result);
    /// @brief Reports all calls as unreachable and closes the connection.
    void fail_all_calls(bool capacity);

    const target_settings& settings_;
    core::target_record target_;
    const std::function<void(core::event)>& sink_;
    std::optional<pg_connection> connection_;
    bool is_open_ = false;
    /// The first call was sent.
    bool is_first_call_sent_ = false;
    std::optional<core::control_result> result_;
    std::deque<queued_call> calls_;
    time_point opened_at_;
    time_point last_used_;
};

/// @brief SQL of a control call.
[[nodiscard]] core::statement control_statement(const core::control_call& call);

/// @return Nothing when the result has not the expected columns.
[[nodiscard]] std::optional<core::control_result> parse_reply(const core::control_call& call,
                                                              const PGresult* result);

} // namespace lovagemoor::target::internal
