#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::soak {

using clock = std::chrono::steady_clock;

/// @brief A caller's statement, as it was sent.
struct sent_statement {
    std::uint64_t session_id = 0;
    std::string text;
    std::string database;
    /// Longest max_staleness that the caller accepts.
    std::chrono::milliseconds max_staleness{0};
    clock::time_point sent;
    /// When the caller began its transaction; `sent` outside of one.
    clock::time_point began;
    bool in_transaction = false;
    /// A target received it.
    bool reached_target = false;
    /// Session values that were acknowledged to the caller.
    std::map<std::string, std::string> values;
};

/// @brief A commit that was acknowledged to its caller.
struct acknowledged_commit {
    clock::time_point acknowledged_at;
    /// Position in the group's log, from 0.
    std::size_t index = 0;
    std::uint64_t session_id = 0;
    bool rolled_back = false;
};

/// @brief What callers sent and were told, and every promise that was found broken.
struct run_history {
    std::map<std::string, sent_statement> statements;
    std::vector<acknowledged_commit> commits;
    /// Statements whose answer promised that nothing is kept.
    std::map<std::string, std::string> refused_statements;
    std::vector<std::string> violations;
    std::map<std::string, unsigned> outcomes;

    void report_violation(const std::string& rule, const std::string& detail) {
        violations.push_back(rule + ": " + detail);
    }
};

} // namespace lovagemoor::soak
