#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/records.hpp>
#include <lovagemoor/core/statement.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace lovagemoor::core {

/// @brief Lower bound on the target's log position and upper bound on the age of its data, which
/// the target checks in the database transaction that runs the statement.
struct read_guard {
    term_number term = 0;
    log_position position = 0;
    /// Maximum age of the data; unset for no limit.
    std::optional<std::chrono::milliseconds> max_age;

    friend bool operator==(const read_guard&, const read_guard&) = default;
};

/// @brief Row that a write inserts under its idempotency key, so that the write runs at most once.
struct idempotency_claim {
    std::string key;
    /// SHA-256 of service, shard key, SQL text and parameters, 64 hexadecimal digits.
    std::string digest;
    std::chrono::seconds retention{0};

    friend bool operator==(const idempotency_claim&, const idempotency_claim&) = default;
};

/// @brief Read with a guard, in its own database transaction; rows arrive as job_rows.
struct read_job {
    core::statement statement;
    read_guard guard;
};

/// @brief Write in its own database transaction, with an optional claim.
struct write_job {
    core::statement statement;
    read_guard guard;
    std::optional<idempotency_claim> claim;
};

/// @brief BEGIN, with an optional claim that covers the whole transaction.
struct begin_job {
    read_guard guard;
    std::optional<idempotency_claim> claim;
};

/// @brief Statement in the connection's open transaction; rows arrive as job_rows.
struct transaction_job {
    core::statement statement;
};

/// @brief COMMIT, followed by a read of the log position.
struct commit_job {
    /// Key of the transaction's claim, empty without one.
    std::string idempotency_key;
};

struct rollback_job {};

/// @brief DISCARD ALL, which must succeed before another session may use the connection.
struct reset_job {};

using target_job = std::variant<read_job, write_job, begin_job, transaction_job, commit_job,
                                rollback_job, reset_job>;

/// @brief The job completed; for writes and commits, COMMIT succeeded.
struct job_done {
    std::uint64_t row_count = 0;
    std::uint64_t affected_rows = 0;
    /// Term and position that the job read; zero for transaction, rollback and reset jobs.
    term_number term = 0;
    log_position position = 0;
    /// Age of the data that was read; set only for read jobs.
    std::chrono::milliseconds age{0};
    /// True when the claim already existed and this is its stored answer.
    bool replayed = false;
};

/// @brief The target reported an error and nothing of the job took effect.
struct job_error {
    std::string sqlstate;
    std::string message;
};

/// @brief The idempotency key was already claimed by a request with another digest; nothing of the
/// job took effect.
struct job_claim_conflict {};

/// @brief The claim of a begin_job already exists, so its transaction was committed earlier.
struct job_already_committed {
    term_number term = 0;
    log_position position = 0;
};

/// @brief The connection broke before the job completed.
struct job_connection_lost {
    /// False if no byte of the job was written to the connection, so that it cannot have run.
    bool sent = true;
};

using job_result = std::variant<job_done, job_error, job_claim_conflict, job_already_committed,
                                job_connection_lost>;

/// @brief SQLSTATEs of the platform's database groups and of PostgreSQL that the core acts on.
namespace sqlstate {
inline constexpr const char* term_superseded = "DG001";
inline constexpr const char* behind = "DG002";
inline constexpr const char* diverged = "DG003";
inline constexpr const char* too_old = "DG004";
inline constexpr const char* read_only = "25006";
inline constexpr const char* too_many_connections = "53300";
} // namespace sqlstate

/// @brief Reads a target's state. Like all control calls it uses a connection but no slot.
struct status_call {};

/// @brief Makes a target promise to reject all lower terms (db_group_raise), which stops a primary
/// of an earlier term.
struct fence_call {
    term_number term = 0;
};

/// @brief Makes a target the primary of a new term.
struct promote_call {
    term_number term = 0;
};

/// @brief Asks a target whether its log has reached a position of a term.
struct attest_call {
    term_number term = 0;
    log_position position = 0;
    /// How long the target may wait to receive the position before it answers.
    std::chrono::milliseconds wait{0};
};

using control_call = std::variant<status_call, fence_call, promote_call, attest_call>;

struct status_reply {
    term_number promised_term = 0;
    term_number last_term = 0;
    log_position position = 0;
    bool is_primary = false;
    /// Upper bound on the age of the target's data; zero on a primary.
    std::chrono::milliseconds age{0};
    /// Time since the target last heard from the primary; zero on a primary.
    std::chrono::milliseconds primary_silence{0};
};

/// @brief Reply to fence_call and attest_call.
struct promise_reply {
    term_number promised_term = 0;
    term_number last_term = 0;
    log_position position = 0;
};

struct promote_reply {
    term_number term = 0;
    log_position start_position = 0;
};

/// @brief The target answered with an error.
struct control_error {
    std::string sqlstate;
};

/// @brief The target did not answer: the connection failed or the call timed out.
struct control_unreachable {
    /// True when the target refused the connection for lack of capacity (SQLSTATE 53300), which
    /// shows load and not a failure.
    bool capacity = false;
};

using control_result =
    std::variant<status_reply, promise_reply, promote_reply, control_error, control_unreachable>;

} // namespace lovagemoor::core
