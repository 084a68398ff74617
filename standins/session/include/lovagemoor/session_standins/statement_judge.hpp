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
/// Follows the callers' sessions from their own messages and from the answers that they received.
class statement_judge {
public:
    using session_id = std::uint64_t;

    /// @param text The statement without its id.
    void on_sent(session_id session, const std::string& id, std::string_view text);

    /// @param error_code Empty if the statement succeeded.
    /// @param state Letter of the state with which the answer ends.
    void on_answered(session_id session, const std::string& id, const std::string& error_code,
                     char state);

    /// @param connection Identifies the connection over which the statement ran.
    void on_run(std::uint64_t connection, const executed_statement& run);

    /// @brief Also reports messages that are not judged by their statement.
    void report(const std::string& rule, const std::string& what);

    /// @return One text for each broken rule, which begins with the rule's name.
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
        return violations_;
    }

    /// @return Number of EXECUTE that ran.
    [[nodiscard]] std::size_t executed() const noexcept { return executed_; }

private:
    struct sent_statement {
        session_id session = 0;
        std::string text;
    };

    struct prepared_statement {
        std::string access;
        std::string shape;
    };

    struct caller_session {
        std::map<std::string, std::string> values;
        std::map<std::string, prepared_statement> prepared;
        bool in_transaction = false;
        /// First statement of the transaction that ran; empty before that.
        std::string first_statement;
        /// Connection on which it ran.
        std::uint64_t connection = 0;
    };

    void check_transaction(session_id id, std::uint64_t connection, const executed_statement& run);

    void check_execute(const caller_session& caller, const sent_statement& sent,
                       const executed_statement& run);

    std::map<std::string, sent_statement> statements_;
    std::map<session_id, caller_session> sessions_;
    /// Session of each transaction of each connection.
    std::map<std::pair<std::uint64_t, std::uint64_t>, session_id> transaction_owners_;
    std::vector<std::string> violations_;
    std::size_t executed_ = 0;
};

} // namespace lovagemoor::session_standins
