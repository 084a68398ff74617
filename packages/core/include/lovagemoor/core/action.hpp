#pragma once

#include <lovagemoor/core/operator_call.hpp>
#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/platform_call.hpp>
#include <lovagemoor/core/target_job.hpp>
#include <lovagemoor/core/telemetry_event.hpp>

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// @file
/// @brief Actions that the core returns to its driver, which performs them.

namespace lovagemoor::core {

struct send_rows_to_caller {
    request_id id = 0;
    row_batch batch;
};

/// @brief Sends a caller the final answer to its call.
struct answer_caller {
    request_id id = 0;
    core::outcome result;
    /// Sealed session token for the caller's next request.
    std::string session_token;
    /// Sealed transaction handle; set only when a begin_request succeeded.
    std::string transaction;
};

/// @brief Sends a message to a host; delivery is not guaranteed.
struct send_to_peer {
    host_id to;
    /// ZeroMQ endpoint of the receiver.
    std::string address;
    peer_message message;
};

struct open_connection {
    connection_id connection = 0;
    target_record target;
};

/// @brief Closes a connection. The result of a job that runs on it is discarded.
struct close_connection {
    connection_id connection = 0;
};

struct run_job {
    connection_id connection = 0;
    job_id job = 0;
    target_job work;
};

/// @brief Calls a control function of a target over a control connection.
struct call_control {
    call_id call = 0;
    target_record target;
    control_call request;
    /// When this time has passed without an answer, the driver reports control_unreachable and
    /// closes the connection.
    duration timeout{0};
};

struct call_platform {
    call_id call = 0;
    platform_call request;
};

struct answer_operator {
    call_id id = 0;
    operator_result result;
};

/// @brief Tells the driver that the process may exit: all requests are finished and all targets
/// have been handed over to other owners.
struct stop_process {};

using action = std::variant<send_rows_to_caller, answer_caller, send_to_peer, open_connection,
                            close_connection, run_job, call_control, call_platform, answer_operator,
                            log_event, count_metric, observe_duration, stop_process>;

using action_list = std::vector<action>;

} // namespace lovagemoor::core
