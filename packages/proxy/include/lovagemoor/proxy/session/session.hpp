#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/registry/configuration.hpp>
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

/// @brief A statement that a caller prepared; targets know it under a name of this host.
struct prepared_statement {
    bool read_only = false;
    std::string shape;

    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// @brief A caller's open transaction.
struct transaction {
    bool read_only = false;
    std::shared_ptr<const route> via;
    /// When the caller's BEGIN arrived.
    core::time_point began;
    /// When the last statement was answered.
    core::time_point idle_since;
    /// Nothing until the first statement runs; the transaction begins at the target only then.
    std::optional<core::connection_id> connection;
    core::target_id target;
    /// Statements that a target answered.
    unsigned answered = 0;
};

enum class request_phase : std::uint8_t {
    /// Waits for a target or a connection.
    waiting,
    /// Waits for the proof that the target leads.
    checking,
    /// Waits for the transaction to begin at the target.
    beginning,
    /// The statement is at the target.
    running,
};

/// @brief Why a request waits.
enum class wait_reason : std::uint8_t { none, primary, connection };

/// @brief The statement that a session waits for.
struct request {
    proxy::statement work;
    std::shared_ptr<const route> via;
    bool writes = false;
    core::time_point received;
    core::time_point deadline;
    core::time_point sent;
    request_phase phase = request_phase::waiting;
    wait_reason waits_for = wait_reason::none;
    core::connection_id connection = 0;
    /// The connection that was last opened for it; others may use it first.
    core::connection_id opened = 0;
    /// Targets that could not serve it.
    std::vector<core::target_id> avoided;
    unsigned attempts = 0;
    /// True when the read ran nowhere else than on a proven primary.
    bool check_leadership = false;
};

/// @brief A caller's connection.
struct session {
    session_id id = 0;
    std::string database;
    session_state state = session_state::idle;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    std::optional<proxy::transaction> transaction;
    /// The transaction ended without the caller's doing; its next statement is answered with this.
    std::optional<statement_error> transaction_error;
    std::optional<request> current;
    /// Statements that arrived before the answer to the current one.
    std::deque<statement> backlog;
    /// Newest state that the session wrote or was shown.
    core::service_id seen_service;
    std::optional<replication_position> seen;
    bool close_when_idle = false;
};

} // namespace lovagemoor::proxy
