#pragma once

#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/records.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/statement.hpp>
#include <lovagemoor/core/target_job.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::core {

/// @brief Log position in a group that a session has written or that a read has shown it.
struct group_position {
    group_id group;
    term_number term = 0;
    log_position position = 0;
    /// A replica known to hold the position, a hint for routing reads; empty when none is known.
    target_id holder{};

    friend bool operator==(const group_position&, const group_position&) = default;
};

/// @brief Latest state of a target as its owner knows it; part of every forward_outcome.
struct target_observation {
    target_id target;
    term_number term = 0;
    log_position position = 0;
    std::chrono::milliseconds age{0};
    bool is_primary = false;
    bool reachable = true;
    /// Expected time that a new request waits for a slot.
    duration queue_wait{0};

    friend bool operator==(const target_observation&, const target_observation&) = default;
};

enum class forwarded_operation : std::uint8_t {
    read,
    write,
    begin,
    in_transaction,
    commit,
    rollback,
};

/// @brief A request that its entry host forwards to the owner of its target.
struct forward_request {
    request_id id = 0;
    forwarded_operation operation = forwarded_operation::read;
    service_id service;
    group_id group;
    target_id target;
    core::statement statement;
    urgency priority = urgency::normal;
    /// Time left until the caller's deadline when the message was sent.
    duration remaining{0};
    /// Latest position of this group that the session has seen; term 0 if it has seen none.
    read_guard guard;
    std::string idempotency_key;
    std::string digest;
    /// Transaction on the owner, 0 outside a transaction.
    transaction_id transaction = 0;
    /// Incarnation of the owner at the time when the transaction was begun.
    incarnation_number owner_incarnation = 0;
};

/// @brief Batch of rows of a forwarded request; batches are numbered from 0 without gaps.
struct forward_rows {
    request_id id = 0;
    std::uint32_t sequence = 0;
    row_batch batch;
};

/// @brief Final answer to a forwarded request.
struct forward_outcome {
    request_id id = 0;
    core::outcome result;
    /// Number of forward_rows messages that belong to the result.
    std::uint32_t batches = 0;
    /// Position that the session has written or seen with this request; term 0 for none.
    group_position shown;
    transaction_id transaction = 0;
    incarnation_number owner_incarnation = 0;
    target_observation observation;
};

/// @brief Cancels a forwarded request. The owner removes the request from its queue, or closes its
/// connection if it is running.
struct forward_cancel {
    request_id id = 0;
};

enum class member_state : std::uint8_t {
    alive,
    suspect,
    leaving,
    dead,
};

[[nodiscard]] const char* to_string(member_state value) noexcept;

/// @brief Gossiped state of one host.
struct member_update {
    host_record host;
    incarnation_number incarnation = 0;
    member_state state = member_state::alive;
    std::uint64_t configuration_version = 0;

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// @brief Header that every membership message carries.
struct gossip_header {
    member_update sender;
    std::vector<member_update> updates;
    /// Hash over (key, revision) of all platform records that the sender holds.
    std::uint64_t view_digest = 0;
};

struct membership_ping {
    std::uint64_t sequence = 0;
    gossip_header gossip;
};

struct membership_ack {
    std::uint64_t sequence = 0;
    /// Host whose liveness the ack confirms; differs from the sender for indirect pings.
    host_id subject;
    gossip_header gossip;
};

/// @brief Asks the receiver to ping the subject on behalf of the sender.
struct membership_ping_request {
    std::uint64_t sequence = 0;
    host_id subject;
    gossip_header gossip;
};

/// @brief Full member list, exchanged when a host joins.
struct membership_sync {
    bool is_reply = false;
    gossip_header gossip;
};

/// @brief A platform record with the revision of its last change.
struct platform_record {
    std::int64_t revision = 0;
    std::variant<configuration, term_record, group_record, host_record> value;

    friend bool operator==(const platform_record&, const platform_record&) = default;
};

/// @brief Recently changed platform records, which the receiver forwards while `hops` is above
/// zero.
struct view_push {
    std::uint32_t hops = 0;
    std::vector<platform_record> records;
};

struct record_revision {
    std::string key;
    std::int64_t revision = 0;

    friend bool operator==(const record_revision&, const record_revision&) = default;
};

/// @brief Requests all records that are newer than the listed revisions or that are not listed.
struct view_request {
    std::vector<record_revision> known;
};

struct view_reply {
    std::vector<platform_record> records;
};

/// @brief Whether one host can reach a group's primary.
struct primary_report {
    group_id group;
    target_id primary;
    term_number term = 0;
    bool reachable = true;
    /// How long the primary has been unreachable; zero when reachable.
    duration unreachable_for{0};
};

using peer_message =
    std::variant<forward_request, forward_rows, forward_outcome, forward_cancel, membership_ping,
                 membership_ack, membership_ping_request, membership_sync, view_push, view_request,
                 view_reply, primary_report>;

} // namespace lovagemoor::core
