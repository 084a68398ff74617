#pragma once

#include "catalogue.hpp"
#include "group_member.hpp"
#include "row_locks.hpp"
#include "wire.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

/// @brief State of a session's transaction.
struct transaction {
    /// True if a statement ran since the last commit or rollback.
    bool active = false;
    /// True if BEGIN started the transaction; otherwise it is implicit and ends at Sync.
    bool in_block = false;
    bool failed = false;
    bool read_only = false;
    std::vector<v1::Change> changes;
};

struct statement_result {
    std::vector<sql_row> rows;
    std::string tag;
    /// True if the statement was a COMMIT that wrote a log entry.
    bool committed_write = false;
};

/// @brief Executes statements on the tables and terms of one member.
class executor {
public:
    /// @param control Executes a standin_control call and returns its result text.
    executor(group_member& member, row_locks& locks,
             std::function<std::string(const std::string& name, const std::string& value)> control)
        : member_(member), locks_(locks), control_(std::move(control)) {}

    /// @brief Checks a statement before it waits for a row lock or a slot.
    /// @return Key of the row lock that the statement needs; empty if it needs none.
    /// @throw sql_error 25006 for a write that is not allowed, 25P02 in a failed transaction, or
    /// the SQLSTATE of an invalid parameter.
    [[nodiscard]] std::string check_statement(const statement_definition& statement,
                                              const std::vector<sql_value>& parameters,
                                              const transaction& current_transaction) const;

    /// @throw sql_error The statement failed; the calling function has to fail the transaction.
    [[nodiscard]] statement_result execute(const statement_definition& statement,
                                           const std::vector<sql_value>& parameters,
                                           transaction& current_transaction, session_id session,
                                           time_point now);

    /// @brief Writes the transaction's changes as one log entry and resets the transaction.
    /// @return True if the transaction had changes.
    /// @throw sql_error 25006 if the member is not the primary; the transaction is reset anyway.
    bool commit(transaction& current_transaction);

private:
    [[nodiscard]] statement_result execute_table(statement_kind kind,
                                                 const std::vector<sql_value>& parameters,
                                                 transaction& current_transaction,
                                                 session_id session) const;
    [[nodiscard]] statement_result execute_transaction(statement_kind kind,
                                                       transaction& current_transaction);
    [[nodiscard]] statement_result
    execute_group(statement_kind kind, const std::vector<sql_value>& parameters, time_point now);
    [[nodiscard]] statement_result delete_expired_requests(transaction& current_transaction,
                                                           session_id session) const;

    group_member& member_;
    row_locks& locks_;
    std::function<std::string(const std::string&, const std::string&)> control_;
};

/// @throw sql_error 22P02 if the text is not an integer, 22004 for NULL.
[[nodiscard]] std::int64_t parse_integer(const sql_value& value);

/// @throw sql_error 22P02 if the text is not a number, 22004 for NULL.
[[nodiscard]] std::chrono::microseconds parse_seconds(const sql_value& value);

} // namespace lovagemoor::standin_target
