#pragma once

#include <lovagemoor/session_standins/statement_judge.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::soak {

using clock = std::chrono::steady_clock;

/// @brief A statement as its caller sent it, with the state of the caller's session.
struct sent_statement {
    std::uint64_t session_id = 0;
    std::string text;
    std::string database;
    /// Longest max_staleness that the caller accepts.
    std::chrono::milliseconds max_staleness{0};
    clock::time_point sent;
    /// When the caller began its transaction. Equals `sent` outside of a transaction.
    clock::time_point began;
    bool in_transaction = false;
    /// True once a target has received the statement.
    bool reached_target = false;
    /// READ, WRITE or COMMIT. For EXECUTE, the access of the prepared statement. Empty for other
    /// statements.
    std::string access;
};

/// @brief A commit that was acknowledged to its caller.
struct acknowledged_commit {
    clock::time_point acknowledged_at;
    /// Position in the group's log, from 0.
    std::size_t index = 0;
    std::uint64_t session_id = 0;
    /// True once a promotion has discarded the commit.
    bool rolled_back = false;
};

/// @return The signature of a target for a statement and the row of its answer.
inline std::string signature(const std::string& statement_id, const std::string& row) {
    return "s." + statement_id + "." + std::to_string(std::hash<std::string>{}(row));
}

/// @brief Records the statements and answers of a run, and each promise that was found broken.
struct run_history {
    session_standins::statement_judge judge;
    std::map<std::string, sent_statement> statements;
    std::vector<acknowledged_commit> commits;
    /// Statements whose answer promised that they had no effect, with the error code.
    std::map<std::string, std::string> refused_statements;
    std::map<std::string, unsigned> outcomes;

    void report_violation(const std::string& rule, const std::string& detail) {
        judge.report(rule, detail);
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
        return judge.violations();
    }
};

} // namespace lovagemoor::soak
