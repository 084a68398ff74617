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

/// @brief A control connection to a target with a queue of calls, of which one runs at a time.
class control_channel {
public:
    control_channel(const target_settings& settings, core::target_record target,
                    const std::function<void(core::event)>& sink);

    /// @brief Queues a call and opens the connection if there is none. When the target's address
    /// has changed, all earlier calls fail and a new connection is opened.
    void add(const core::call_control& call, time_point now);

    /// @brief Continues to open the connection, or reads results, when its socket is ready.
    void handle_ready(time_point now);

    /// @brief Reports calls that have timed out as unreachable. Closes the connection when its idle
    /// timeout has ended.
    void expire(time_point now);

    /// @return The time of the next timeout, or time_point::max() without calls and connection.
    [[nodiscard]] time_point next_expiry() const;

    /// @return The descriptor of the connection's socket, or -1 without a connection.
    [[nodiscard]] int socket() const noexcept { return connection_ ? connection_->socket() : -1; }

    [[nodiscard]] short poll_events() const noexcept { return connection_->poll_events(); }

    /// @return True when the channel has neither queued calls nor a connection.
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
    /// @brief Closes the connection and reports all calls as unreachable.
    /// @param capacity Whether the target refused the connection because it has too many
    /// connections.
    void fail_all_calls(bool capacity);

    const target_settings& settings_;
    core::target_record target_;
    const std::function<void(core::event)>& sink_;
    std::optional<pg_connection> connection_;
    bool is_open_ = false;
    /// True while the call at the front of `calls_` has been sent and has no result yet.
    bool is_first_call_sent_ = false;
    std::optional<core::control_result> result_;
    std::deque<queued_call> calls_;
    time_point opened_at_;
    time_point last_used_;
};

/// @return The SQL statement that makes a control call.
[[nodiscard]] core::statement control_statement(const core::control_call& call);

/// @brief Parses the result of a control call.
/// @return The reply; nothing when the result does not have one row with the expected columns or a
/// column is not a number.
[[nodiscard]] std::optional<core::control_result> parse_reply(const core::control_call& call,
                                                              const PGresult* result);

} // namespace lovagemoor::target::internal
