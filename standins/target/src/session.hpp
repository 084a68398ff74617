#pragma once

#include "executor.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

enum class session_phase {
    /// No startup message yet.
    startup,
    /// The startup message was received and the connection's cost is being spent.
    opening,
    ready,
};

/// @brief What a running statement waits for.
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
    /// Came as a Query message, not through the extended protocol.
    bool simple_query = false;
    statement_stage stage = statement_stage::check;
    bool holds_slot = false;
    bool attest_expired = false;
};

/// @brief One client connection.
struct session {
    session_id id = 0;
    int socket = -1;
    session_phase phase = session_phase::startup;
    std::string application_name;
    /// True for connections named standin_control, which no fault touches.
    bool is_control = false;

    std::string input;
    /// Bytes of `input` that were taken already.
    std::size_t input_offset = 0;
    std::string output;
    /// Bytes of `output` that may be sent; PostgreSQL sends on Sync, on Flush and when its buffer
    /// is full.
    std::size_t sendable = 0;
    /// The client sent no more; what arrived before is still executed.
    bool input_closed = false;
    /// To be closed once the output is sent.
    bool closing = false;
    /// To be closed at once, but for a statement in service, which runs to its end.
    bool broken = false;

    /// Runs no message until more of the output is sent.
    bool output_full = false;

    bool skip_until_sync = false;
    std::map<std::string, const statement_definition*> prepared;
    std::map<std::string, bound_statement> portals;
    transaction current_transaction;
    std::optional<running_statement> running;
    /// Counts statements, so that a timer recognizes the one that it was made for.
    std::uint64_t statement_number = 0;
};

} // namespace lovagemoor::standin_target
