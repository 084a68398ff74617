#pragma once

#include "executor.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

enum class session_phase {
    /// The startup message has not been received.
    startup,
    /// The startup message was received, but the simulated connection cost has not elapsed.
    opening,
    ready,
};

/// @brief Next step of a running statement, or what it waits for.
enum class statement_stage {
    check,
    lock_wait,
    slot_request,
    slot_wait,
    service_start,
    service,
    attest_check,
    attest_wait,
    execution,
};

struct bound_statement {
    const statement_definition* definition = nullptr;
    std::vector<sql_value> parameters;
};

struct running_statement {
    bound_statement statement;
    /// True if the statement was sent in a Query message, not through the extended protocol.
    bool simple_query = false;
    statement_stage stage = statement_stage::check;
    bool holds_slot = false;
    bool attest_expired = false;
};

/// @brief State of one client connection.
struct session {
    session_id id = 0;
    int socket = -1;
    session_phase phase = session_phase::startup;
    std::string application_name;
    /// True for connections with the application_name standin_control, which no fault affects.
    bool is_control = false;

    std::string input;
    /// Number of bytes of `input` that have been parsed.
    std::size_t input_offset = 0;
    std::string output;
    /// Number of bytes of `output` that may be sent; PostgreSQL sends on Sync, on Flush and when
    /// its buffer is full.
    std::size_t sendable = 0;
    /// The client closed its sending side; messages that arrived before are still executed.
    bool input_closed = false;
    /// The connection is closed once the output has been sent.
    bool closing = false;
    /// The connection is closed at once; a statement in the service stage still runs to its end.
    bool broken = false;

    /// No further message runs until more of the output has been sent.
    bool output_full = false;

    bool skip_until_sync = false;
    std::map<std::string, const statement_definition*> prepared;
    std::map<std::string, bound_statement> portals;
    transaction current_transaction;
    std::optional<running_statement> running;
    /// Number of statements started; a timer compares it to ignore a statement other than its own.
    std::uint64_t statement_number = 0;
};

} // namespace lovagemoor::standin_target
