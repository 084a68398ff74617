#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>
#include <lovagemoor/core/telemetry_event.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/promotion/promotion_token.hpp>
#include <lovagemoor/proxy/quota/quota_client.hpp>
#include <lovagemoor/proxy/session/statement_result.hpp>
#include <lovagemoor/proxy/target/target_command.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Actions that the session engine asks its driver to perform.

namespace lovagemoor::proxy {

/// @name Callers
/// @{
struct accept_session {
    session_id session = 0;
};

/// @brief Sends the caller the reason for the end of its session, then closes the connection.
struct reject_session {
    session_id session = 0;
    statement_error error;
};

struct answer_statement {
    session_id session = 0;
    statement_result result;
};

/// @brief Asks for the statements that have arrived at a session, followed by session_drained.
struct drain_session {
    session_id session = 0;
};

/// @brief Closes a caller's connection after all pending answers have been sent.
struct close_session {
    session_id session = 0;
    /// Why it ends, for logs.
    session_end reason = session_end::finished;
};

/// @}

/// @name Targets
/// @{
struct open_target {
    core::connection_id connection = 0;
    core::target_id target;
    core::service_id service;
    /// Organisation for which the connection is used. The target is told the host's name instead if
    /// it is empty.
    core::organisation_id organisation;
    /// ip:port
    std::string address;
    /// Timeout for establishing the TCP connection.
    std::chrono::milliseconds connect_timeout{0};
    /// Timeout for the target's greeting, counted from the established connection.
    std::chrono::milliseconds greeting_timeout{0};
    /// Host from which the connection is borrowed; empty if this host opens one of its own.
    std::optional<core::host_id> holder;
    /// @name Only used by a holder
    /// @{
    /// The connection of any organisation will do, since no caller's statement will run on it.
    bool any_organisation = false;
    /// Connections that the target accepts from all hosts; 0 if unknown.
    unsigned connection_limit = 0;
    /// Statements that the target executes at a time.
    unsigned slots = 1;
    /// Time for which the request may wait at the holder.
    std::chrono::milliseconds wait{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// @}
};

/// @brief Sends commands as one pipelined batch. Each command is answered by one target_replied
/// event, in the same order.
struct send_commands {
    core::connection_id connection = 0;
    std::vector<target_command> commands;
};

/// @brief Closes a connection. A borrowed one is given back to be closed or rolled back.
struct close_target {
    core::connection_id connection = 0;
};

/// @brief Gives back a borrowed connection that has no transaction and expects no reply.
struct return_target {
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

/// @brief Starts or stops watching failure reports and the promotion lock in the registry.
struct follow_promotions {
    bool active = false;
};

/// @brief Requests the promotion lock. Answered by promotion_lock_answered.
struct acquire_promotion_lock {
    std::chrono::milliseconds duration{0};
};

/// @brief Publishes a demotion in the registry, where all hosts follow it. Answered by
/// demotion_publish_answered.
struct publish_demotion {
    primary_demotion demotion;
    /// The demotion is only published while this host holds the promotion lock with this token.
    promotion_token fencing_token;
};

/// @brief Announces again a demotion that the registry lost when it came back from an older copy.
/// Answered by demotion_restore_answered.
struct restore_demotion {
    primary_demotion demotion;
    /// Revision of the service's item that the copy has, 0 if it has none. The demotion is only
    /// written if the item is still that one.
    std::uint64_t listed_revision = 0;
};

/// @brief Lists the announced demotions, then follows further ones. Answered by demotions_listed.
struct list_demotions {};

/// @brief Makes a cheap call to the registry. Answered by registry_contacted if it succeeds.
struct contact_registry {};

/// @brief Promotes a target to primary of its service. Answered by promotion_answered.
struct promote_target {
    core::service_id service;
    core::target_id target;
    promotion_token fencing_token;
};

/// @}

/// @brief Asks the owner of a quota slot for tokens. Answered by quota_answered or
/// quota_owner_unreachable.
struct request_quota {
    quota_request request;
};

/// @brief Tells the load balancer whether this host accepts new sessions.
struct set_ready {
    bool ready = false;
};

/// @brief All sessions have ended; the process may exit.
struct stop_process {};

using action =
    std::variant<accept_session, reject_session, answer_statement, drain_session, close_session,
                 open_target, send_commands, close_target, return_target, publish_suspicion,
                 withdraw_suspicion, follow_promotions, acquire_promotion_lock, publish_demotion,
                 restore_demotion, list_demotions, contact_registry, promote_target, request_quota,
                 set_ready, stop_process, core::log_event, core::count_metric,
                 core::observe_duration>;

using action_list = std::vector<action>;

} // namespace lovagemoor::proxy
