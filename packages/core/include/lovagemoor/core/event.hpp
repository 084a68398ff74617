#pragma once

#include <lovagemoor/core/operator_call.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/platform_call.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/target_job.hpp>

#include <variant>

/// @file
/// @brief Events that the driver passes to the core. Together with the actions of action.hpp they
/// form the core's interface.

namespace lovagemoor::core {

/// @brief A call arrived from a caller; `id` is unique within the process.
struct caller_called {
    request_id id = 0;
    caller_request request;
};

/// @brief The caller cancelled its call or its connection broke.
struct caller_cancelled {
    request_id id = 0;
};

struct peer_received {
    host_id from;
    peer_message message;
};

struct connection_opened {
    connection_id connection = 0;
    target_id target;
};

/// @brief A connection could not be opened or was closed by the target while idle.
struct connection_closed {
    connection_id connection = 0;
    target_id target;
    /// True when the target refused the connection for lack of capacity (SQLSTATE 53300).
    bool capacity = false;
};

/// @brief Rows of a running job; the batches of a job arrive in order.
struct job_rows {
    connection_id connection = 0;
    job_id job = 0;
    row_batch batch;
};

struct job_finished {
    connection_id connection = 0;
    job_id job = 0;
    job_result result;
};

struct control_finished {
    call_id call = 0;
    target_id target;
    control_result result;
};

struct platform_finished {
    call_id call = 0;
    platform_result result;
};

/// @brief A watched record changed.
struct platform_changed {
    platform_record record;
};

/// @brief The watch on the platform's records ended and must be restarted with set_watch.
struct platform_watch_lost {};

struct operator_called {
    call_id id = 0;
    operator_call call;
};

/// @brief The time given by engine::next_wakeup() has come.
struct timer_expired {};

/// @brief The process was asked to stop (SIGTERM).
struct drain_requested {};

using event = std::variant<caller_called, caller_cancelled, peer_received, connection_opened,
                           connection_closed, job_rows, job_finished, control_finished,
                           platform_finished, platform_changed, platform_watch_lost,
                           operator_called, timer_expired, drain_requested>;

} // namespace lovagemoor::core
