#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/registry/configuration.hpp>
#include <lovagemoor/proxy/session/prepared_statement.hpp>
#include <lovagemoor/proxy/session/statement.hpp>
#include <lovagemoor/proxy/session/statement_result.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief A caller's open transaction.
struct transaction {
    bool read_only = false;
    std::shared_ptr<const route> via;
    core::organisation_id organisation;
    /// Time at which the caller's BEGIN arrived.
    core::time_point began;
    /// Time at which the last statement was answered.
    core::time_point idle_since;
    /// Empty until the first statement runs, which is when the transaction begins at the target.
    std::optional<core::connection_id> connection;
    core::target_id target;
    /// Number of statements that the target answered.
    unsigned answered = 0;
};

enum class request_phase : std::uint8_t {
    /// Waiting for a target or a connection.
    waiting,
    /// Waiting for the proof that the target is the primary.
    checking,
    /// The target is the primary. Waiting for the end of the transaction that proved it.
    confirmed,
    /// Waiting for the transaction to begin at the target.
    beginning,
    /// The statement was sent to the target.
    running,
};

/// @return The name used in logs.
[[nodiscard]] const char* to_string(request_phase phase) noexcept;

/// @brief The resource for which a request waits.
enum class wait_reason : std::uint8_t { none, primary, connection, quota };

/// @brief The log position that a read requires of a target.
struct read_requirement {
    replication_position position;
    /// The position is one that the session has written or been shown. Otherwise a check of the
    /// primary returned it.
    bool seen_by_session = false;
    /// Time at which that check was sent.
    core::time_point checked_at;
};

/// @brief The statement of a session that is being processed.
struct request {
    proxy::statement work;
    std::shared_ptr<const route> via;
    /// Organisation for which it runs; empty on a route without keys.
    core::organisation_id organisation;
    bool writes = false;
    core::time_point received;
    core::time_point deadline;
    core::time_point sent;
    request_phase phase = request_phase::waiting;
    wait_reason waits_for = wait_reason::none;
    core::connection_id connection = 0;
    /// Connection that was last opened for the request. Other requests may use it first.
    core::connection_id opened = 0;
    /// Number of connections that could not be borrowed for the request.
    unsigned failed_loans = 0;
    /// Targets that could not serve the request.
    std::vector<core::target_id> avoided;
    unsigned attempts = 0;
    /// The operation has used a token of its organisation. Its further attempts need none.
    bool token_taken = false;
    bool token_asked = false;
    /// Time since which the request waits for a token.
    core::time_point token_awaited_since;
    /// The statement must run on the primary; a read outside of a transaction is preceded by a
    /// leadership check.
    bool check_leadership = false;
    /// What the read required when it was sent. Empty for statements that run on the primary.
    std::optional<read_requirement> required;
};

/// @brief A caller's connection.
struct session {
    session_id id = 0;
    std::string database;
    /// Identifies the caller's organisation. Must not be logged.
    std::string key;
    session_state state = session_state::idle;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    /// Size of the names, values and shapes above.
    std::size_t kept_bytes = 0;
    std::optional<proxy::transaction> transaction;
    /// Set if the transaction ended without a request of the caller. Answers the next statement.
    std::optional<statement_error> transaction_error;
    std::optional<request> current;
    /// Statements that arrived before the answer to the current one.
    std::deque<statement> backlog;
    /// Newest log position that the session has written or been shown, by service. A route may move
    /// to another service and back.
    std::map<core::service_id, replication_position> seen;
    bool close_when_idle = false;
    /// The session ends for this reason as soon as its input has been drained.
    std::optional<session_end> ending;
    /// Time from which a session that is to end is closed once all of its statements are answered.
    /// Put off with each answer during the first half of a stop.
    std::optional<core::time_point> close_after;
    /// Time at which the caller was last told something: that it may begin, or an answer.
    core::time_point last_output;
    /// The caller has not read enough of the answers. No further statement is started.
    bool output_above_limit = false;
};

} // namespace lovagemoor::proxy
