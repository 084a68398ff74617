#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/proxy/link/link_peer.hpp>
#include <lovagemoor/proxy/promotion/promotion_token.hpp>
#include <lovagemoor/proxy/quota/quota_client.hpp>
#include <lovagemoor/proxy/quota/quota_floor.hpp>
#include <lovagemoor/proxy/registry/configuration.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>
#include <lovagemoor/proxy/registry/target_record.hpp>
#include <lovagemoor/proxy/session/statement.hpp>
#include <lovagemoor/proxy/target/target_reply.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief Events that the driver passes to the session engine.

namespace lovagemoor::proxy {

/// @brief Identifies a caller's connection within this process.
using session_id = std::uint64_t;

/// @name Callers
/// @{
struct session_opened {
    session_id session = 0;
    std::string database;
    /// Identifies the caller's organisation. Must not be logged.
    std::string key{};
};

struct statement_received {
    session_id session = 0;
    proxy::statement statement;
};

/// @brief Why a session ended.
enum class session_end : std::uint8_t {
    /// The caller closed its connection, or the connection failed.
    connection_lost,
    /// The caller has not acknowledged what was sent to it: answers may not have reached it.
    connection_timed_out,
    /// The caller ended the session with a message.
    terminated,
    /// The caller sent a message that is malformed or outside of the session's order.
    malformed,
    /// The caller exceeded a limit of this host.
    caller_limit,
    /// @name Chosen by the engine
    /// @{
    /// The caller sent more statements ahead than the protocol allows.
    too_many_statements,
    /// The session had an answer after which it was to end.
    finished,
    /// This host stops.
    stopping,
    /// This host reaches no target outside its failure domain.
    isolated,
    /// @}
};

/// @return The name used in logs and metrics.
[[nodiscard]] const char* to_string(session_end reason) noexcept;

struct session_closed {
    session_id session = 0;
    session_end reason = session_end::connection_lost;
};

/// @brief What had arrived at the session has been passed on.
struct session_drained {
    session_id session = 0;
    /// Nothing had arrived, and the caller has been sent all answers. Otherwise the session must
    /// not be closed yet.
    bool complete = true;
};

/// @brief The bytes that wait to be sent to a caller have exceeded the limit, or no longer do.
struct session_output_changed {
    session_id session = 0;
    bool above_limit = false;
};

/// @}

/// @name Targets
/// @{
struct target_connected {
    core::connection_id connection = 0;
    /// The target's log position when it accepted the connection.
    std::optional<replication_position> position;
    /// False if a borrowed connection may hold session values or prepared statements.
    bool clean = true;
};

/// @brief The holder of a connection that is being borrowed has received the request.
struct loan_queued {
    core::connection_id connection = 0;
};

struct target_replied {
    core::connection_id connection = 0;
    target_reply reply;
};

/// @brief Why a connection to a target ended or could not be opened.
enum class target_close_reason : std::uint8_t {
    /// The connection was refused.
    refused,
    /// The target did not answer in time.
    timed_out,
    /// The target reached its connection limit.
    connection_limit,
    /// Another target answered.
    wrong_target,
    /// The target closed an open connection.
    closed,
    /// The reply could not be decoded.
    malformed,
    /// @name Only for borrowed connections
    /// @{
    /// The holder could not be reached, was lost or did not answer.
    holder_lost,
    /// The holder stops and lends no more connections.
    holder_stopping,
    /// No connection of the holder became free in time.
    holder_busy,
    /// @}
};

/// @return The name used in logs and metrics.
[[nodiscard]] const char* to_string(target_close_reason reason) noexcept;

/// @return True if the end of a borrowed connection says nothing about the target.
[[nodiscard]] constexpr bool caused_by_holder(target_close_reason reason) noexcept {
    return reason >= target_close_reason::holder_lost;
}

struct target_disconnected {
    core::connection_id connection = 0;
    target_close_reason reason = target_close_reason::closed;
};

/// @}

/// @name Registry
/// @{
struct configuration_changed {
    proxy::configuration configuration;
};

/// @brief The registry proved that the configuration in force is its newest one.
struct configuration_confirmed {
    /// Time at which the call that proves it was sent.
    core::time_point as_of;
};

/// @brief The complete list of targets.
struct targets_listed {
    std::vector<target_record> targets;
};

struct target_changed {
    target_record target;
};

struct target_removed {
    core::target_id target;
};

/// @brief A live host and where it runs.
struct host_record {
    core::host_id host;
    core::domain_id domain;
};

/// @brief The complete list of hosts.
struct hosts_listed {
    std::vector<host_record> hosts;
};

/// @brief The complete list of hosts that this one can reach over the link, itself included.
struct link_peers_listed {
    std::vector<link_peer> peers;
};

/// @}

/// @brief A host of another failure domain has sent something over the link.
struct peer_contacted {};

/// @brief Reports whether the registry can be reached.
struct registry_reachable {
    bool reachable = false;
};

/// @brief The registry answered a call of this host.
struct registry_contacted {
    /// Time at which the call was sent.
    core::time_point sent;
};

/// @brief The registry has come back from an older copy of its items. Sent before the lists that
/// are made in the new era.
struct registry_restored {
    registry_era previous = 0;
    registry_era current = 0;
};

/// @name Failure reports and promotion
/// @{

/// @brief A host's report that it cannot reach a primary.
struct suspicion_report {
    core::service_id service;
    core::target_id primary;
    core::host_id reporter;
};

/// @brief The complete list of reports.
struct suspicions_listed {
    std::vector<suspicion_report> reports;
};

struct suspicion_reported {
    suspicion_report report;
};

struct suspicion_withdrawn {
    core::service_id service;
    core::host_id reporter;
};

/// @brief A report could not be published.
struct suspicion_publish_failed {
    core::service_id service;
};

/// @brief A report could not be withdrawn.
struct suspicion_withdrawal_failed {
    core::service_id service;
};

enum class promotion_lock_result : std::uint8_t {
    acquired,
    held_by_other,
    /// The lock was not claimed, as a host may still hold one of an earlier era of the registry.
    too_early,
    unknown,
};

/// @brief Result of a request for the promotion lock.
struct promotion_lock_answered {
    promotion_lock_result result = promotion_lock_result::unknown;
    promotion_token fencing_token;
    /// Time for which this host still holds the lock.
    std::chrono::milliseconds valid_for{0};
    /// Time after which the lock may be claimed, if it was too early.
    std::chrono::milliseconds retry_after{0};
};

/// @brief Another host acquired the promotion lock.
struct promotion_lock_taken {
    promotion_token fencing_token;
};

/// @brief The promotion lock was released by its holder or its lease expired.
struct promotion_lock_released {
    /// Greater than the fencing token of the former holder and less than those of later holders.
    promotion_token fencing_token;
};

enum class promotion_result : std::uint8_t {
    accepted,
    /// The target is not running or a newer fencing token is known.
    rejected,
    /// The call was not executed because of overload.
    overloaded,
    /// The call was not answered and may still be executed.
    unknown,
};

struct promotion_answered {
    core::service_id service;
    core::target_id target;
    promotion_result result = promotion_result::unknown;
};

/// @brief A primary that its service is about to lose. It must not be used in terms below the given
/// one, even if it still considers itself the primary.
struct primary_demotion {
    core::service_id service;
    core::target_id target;
    core::term_number term = 0;
    /// Revision of the item that announces it. 0 if unknown.
    std::uint64_t revision = 0;
};

/// @brief A host published a demotion in the registry.
struct demotion_announced {
    primary_demotion demotion;
};

/// @brief All demotions that hosts announced, listed in answer to list_demotions.
struct demotions_listed {
    std::vector<primary_demotion> demotions;
};

/// @brief Result of publishing a demotion.
struct demotion_publish_answered {
    primary_demotion demotion;
    bool published = false;
};

/// @brief Result of restore_demotion.
struct demotion_restore_answered {
    core::service_id service;
    bool restored = false;
};

/// @}

/// @name Quotas
/// @{

/// @brief The owner of a slot answered request_quota.
struct quota_answered {
    quota_grant grant;
};

/// @brief The owner of a slot is not known or cannot be reached.
struct quota_owner_unreachable {
    /// Number of the request.
    std::uint64_t number = 0;
};

/// @brief The number of hosts among which the floor is divided, or the time up to which this host
/// may use its part, has changed.
struct quota_floor_changed {
    quota_floor floor;
};

/// @}

/// @brief The process was asked to stop.
struct stop_requested {};

/// @brief The time returned by session_engine::next_wakeup() is reached.
struct timer_expired {};

using event = std::variant<
    session_opened, statement_received, session_closed, session_drained, session_output_changed,
    target_connected, loan_queued, target_replied, target_disconnected, configuration_changed,
    configuration_confirmed, targets_listed, target_changed, target_removed, hosts_listed,
    link_peers_listed, peer_contacted, suspicions_listed, suspicion_reported, suspicion_withdrawn,
    suspicion_publish_failed, suspicion_withdrawal_failed, promotion_lock_answered,
    promotion_lock_taken, promotion_lock_released, promotion_answered, demotion_announced,
    demotions_listed, demotion_publish_answered, demotion_restore_answered, registry_contacted,
    registry_reachable, registry_restored, quota_answered, quota_owner_unreachable,
    quota_floor_changed, stop_requested, timer_expired>;

} // namespace lovagemoor::proxy
