#pragma once

#include <lovagemoor/proxy/replication_position.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

enum class statement_error_kind : std::uint8_t {
    /// @name Errors that prove that the operation had no effect
    /// @{
    busy,
    /// The transaction was rolled back.
    aborted,
    /// The target's log does not include the required position.
    lagging,
    /// The target is not the primary.
    read_only,
    /// The connection reached a different target than expected.
    wrong_target,
    connection_limit,
    /// @}
    /// The statement ran and failed.
    failed,
    /// The name of the prepared statement is unknown.
    not_prepared,
    /// There was no result in time. The statement may have run.
    timeout,
    not_authorized,
    unknown_database,
    too_large,
    malformed,
    /// The statement may have run.
    in_doubt,
    /// An error code that this version does not know.
    other,
};

/// @return True if the error proves that the operation had no effect.
[[nodiscard]] constexpr bool proves_not_run(statement_error_kind kind) noexcept {
    return kind <= statement_error_kind::connection_limit;
}

/// @return The name used in logs and metrics.
[[nodiscard]] const char* to_string(statement_error_kind kind) noexcept;

struct statement_error {
    statement_error_kind kind = statement_error_kind::other;
    /// Message for people. For errors of a target, the text sent by the target.
    std::string text;
    /// Delay before a retry. Only set if a retry can succeed.
    std::optional<std::chrono::milliseconds> retry_after;
};

enum class session_state : std::uint8_t {
    idle,
    in_transaction,
    /// Only a rollback is accepted.
    failed_transaction,
};

/// @brief The complete result of a statement.
struct statement_result {
    std::vector<std::string> rows;
    /// The target's signature of a successful result. Empty if this host answers the statement
    /// itself.
    std::string signature;
    std::optional<statement_error> error;
    session_state state = session_state::idle;
    std::optional<replication_position> position;
};

} // namespace lovagemoor::proxy
