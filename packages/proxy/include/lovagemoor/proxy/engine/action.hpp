#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/telemetry_event.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/session/statement_result.hpp>
#include <lovagemoor/proxy/target/target_command.hpp>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Everything that the engine can ask its driver to do.

namespace lovagemoor::proxy {

/// @name Callers
/// @{
struct accept_session {
    session_id session = 0;
};

/// @brief Tells a caller why its session ends, and closes it.
struct reject_session {
    session_id session = 0;
    statement_error error;
};

struct answer_statement {
    session_id session = 0;
    statement_result result;
};

/// @brief Closes a caller's connection once its answers are sent.
struct close_session {
    session_id session = 0;
};

/// @}

/// @name Targets
/// @{
struct open_target {
    core::connection_id connection = 0;
    core::target_id target;
    core::service_id service;
    /// ip:port
    std::string address;
    /// Longest wait for the target's machine to accept.
    std::chrono::milliseconds connect_timeout{0};
    /// Longest wait for the target's greeting after that.
    std::chrono::milliseconds greeting_timeout{0};
};

/// @brief Sends commands in one piece; each gets one target_replied, in order.
struct send_commands {
    core::connection_id connection = 0;
    std::vector<target_command> commands;
};

struct close_target {
    core::connection_id connection = 0;
};

/// @}

/// @name Promotion
/// @{
struct publish_suspicion {
    suspicion_report report;
};

struct withdraw_suspicion {
    core::service_id service;
};

/// @brief Asks for the right to promote, for a limited time; answered with duty_claimed.
/// @brief Reports of lost primaries and claims of the duty are needed, or no longer.
struct follow_promotions {
    bool active = false;
};

struct acquire_promotion_lock {
    std::chrono::milliseconds duration{0};
};

/// @brief Makes a target its service's primary; answered with promotion_answered.
struct promote_target {
    core::service_id service;
    core::target_id target;
    std::uint64_t fencing_token = 0;
};

/// @}

/// @brief Tells the load balancer whether this host takes new sessions.
struct set_ready {
    bool ready = false;
};

/// @brief All sessions have ended; the process may exit.
struct stop_process {};

using action =
    std::variant<accept_session, reject_session, answer_statement, close_session, open_target,
                 send_commands, close_target, publish_suspicion, withdraw_suspicion,
                 follow_promotions, acquire_promotion_lock, promote_target, set_ready, stop_process,
                 core::log_event, core::count_metric, core::observe_duration>;

using action_list = std::vector<action>;

} // namespace lovagemoor::proxy
