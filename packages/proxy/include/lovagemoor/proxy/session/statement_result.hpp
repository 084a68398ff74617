#pragma once

#include <lovagemoor/proxy/replication_position.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

enum class statement_error_kind : std::uint8_t {
    /// @name Not run; nothing of the caller's operation is kept.
    /// @{
    busy,
    /// The transaction was rolled back.
    aborted,
    /// The log lacks the position that was asked for.
    lagging,
    /// The target is not the primary.
    read_only,
    /// The connection reached another target than the expected one.
    wrong_target,
    connection_limit,
    /// @}
    /// The statement ran and failed.
    failed,
    /// The prepared statement's name is unknown.
    not_prepared,
    /// No result in time; it may have run.
    timeout,
    not_authorized,
    unknown_database,
    too_large,
    malformed,
    /// It may have run.
    in_doubt,
    /// A code that this version does not know.
    other,
};

/// @return True if the error proves that nothing of the operation was kept.
[[nodiscard]] constexpr bool proves_not_run(statement_error_kind kind) noexcept {
    return kind <= statement_error_kind::connection_limit;
}

/// @return The name in logs and metrics.
[[nodiscard]] const char* to_string(statement_error_kind kind) noexcept;

struct statement_error {
    statement_error_kind kind = statement_error_kind::other;
    /// For people; for a target's errors as the target sent it.
    std::string text;
    /// When a caller may try again; only where waiting helps.
    std::optional<std::chrono::milliseconds> retry_after;
};

enum class session_state : std::uint8_t {
    idle,
    in_transaction,
    /// Only ending the transaction is accepted.
    failed_transaction,
};

/// @brief The complete answer to a statement.
struct statement_result {
    std::vector<std::string> rows;
    /// The target's signature of a success; empty when this host answers itself.
    std::string signature;
    std::optional<statement_error> error;
    session_state state = session_state::idle;
    std::optional<replication_position> position;
};

} // namespace lovagemoor::proxy
