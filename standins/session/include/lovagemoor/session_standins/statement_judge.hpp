#pragma once

#include <lovagemoor/session_standins/database_connection.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagemoor::session_standins {

/// @brief Compares what targets run with what callers have sent, byte by byte: the rules PINNED and
/// UNASKED.
///
/// Follows the callers' sessions from their own messages and from the answers that they received. A
/// statement is compared with its session's state when it was sent, since a delayed one may run
/// after its caller was told of a time-out and has gone on.
class statement_judge {
public:
    using session_id = std::uint64_t;

    /// @param text The statement without its id.
    void on_sent(session_id session, const std::string& id, std::string_view text);

    /// @param error_code Empty if the statement succeeded.
    /// @param state Letter of the state with which the answer ends.
    void on_answered(session_id session, const std::string& id, const std::string& error_code,
                     char state);

    /// @brief Checks a statement that a target reads, whether or not the target runs it.
    /// @return True if a caller has sent the statement with this text.
    bool on_received(const executed_statement& run);

    /// @brief Checks a statement that a target runs, including what on_received() checks.
    /// @param connection Identifies the connection over which the statement ran.
    /// @return What on_received() returns.
    bool on_run(std::uint64_t connection, const executed_statement& run);

    /// @brief Also reports messages that are not judged by their statement.
    void report(const std::string& rule, const std::string& what);

    /// @return One text for each broken rule, which begins with the rule's name.
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
        return violations_;
    }

    /// @return Number of EXECUTE that ran.
    [[nodiscard]] std::size_t executed() const noexcept { return executed_; }

private:
    struct prepared_statement {
        std::string access;
        std::string shape;
    };

    struct session_state {
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_statement> prepared;
        bool in_transaction = false;
        /// Number of transactions that have begun.
        std::uint64_t transactions = 0;
    };

    struct sent_statement {
        session_id session = 0;
        std::string text;
        /// State of the session when the statement was sent.
        session_state state;
    };

    /// @brief The first statement of a caller's transaction that ran.
    struct transaction_start {
        std::string statement;
        std::uint64_t connection = 0;
    };

    void check_transaction(const sent_statement& sent, std::uint64_t connection,
                           const executed_statement& run);

    void check_execute(const sent_statement& sent, const executed_statement& run);

    std::map<std::string, sent_statement> statements_;
    std::map<session_id, session_state> sessions_;
    /// By session and number of its transaction.
    std::map<std::pair<session_id, std::uint64_t>, transaction_start> transaction_starts_;
    /// Caller's transaction, as its session and number, of each transaction of each connection.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::pair<session_id, std::uint64_t>>
        transaction_owners_;
    std::vector<std::string> violations_;
    std::size_t executed_ = 0;
};

} // namespace lovagemoor::session_standins
