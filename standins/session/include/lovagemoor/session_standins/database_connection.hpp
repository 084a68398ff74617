#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lovagemoor::session_standins {

/// @brief A statement that a target runs for a caller.
struct executed_statement {
    std::string id;
    /// The text without a required position.
    std::string text;
    /// READ, WRITE or COMMIT. For EXECUTE, the access of the prepared statement.
    std::string access;
    /// Shape under which the name of an EXECUTE was prepared; empty for other statements.
    std::string shape;
    /// What follows the access; for EXECUTE, what follows the name. Includes the separating space.
    std::string arguments;
    /// Session values of the connection.
    std::map<std::string, std::string> values;
    std::optional<std::string> required_position;
    /// Number of the open transaction of the connection; 0 outside of transactions.
    std::uint64_t transaction = 0;
    /// The transaction was begun without READ.
    bool writable = false;
};

/// @brief The fields that follow the access of a statement.
struct statement_arguments {
    std::string item;
    /// Extends to the end of the statement; empty if there is none.
    std::string data;
};

[[nodiscard]] statement_arguments split_arguments(const executed_statement& statement);

/// @brief The target's side of one connection: reads lines of the statement protocol and keeps the
/// session values, prepared statements and transaction state of the connection.
///
/// The page leaves open whether a rollback reverts values and prepared statements; here it does, so
/// that a host which relies on them is found.
///
/// The parser is written from the protocol's page and shares no code with the adapter of the
/// product, so that a mistake in one does not hide in the other.
class database_connection {
public:
    /// @brief What a statement leads to, as the lines of the answer before READY.
    struct outcome {
        std::string lines;
        /// The transaction fails; only ROLLBACK ends it.
        bool failed = false;
    };

    struct hooks {
        /// Runs a caller's statement.
        std::function<outcome(const executed_statement&)> run;
        /// Asked before a transaction begins. Returns the code of the error, if there is one.
        std::function<std::optional<std::string>(bool read_only)> begin;
        /// Answers STATUS, PAUSE, RESUME and STEPDOWN with their arguments.
        std::function<std::string(const std::string& text)> administer;
        /// Position in the log as TERM.NUMBER.
        std::function<std::string()> position;
        /// Receives each message that the protocol does not allow.
        std::function<void(const std::string& reason)> on_malformed;
        /// Asked for the position that WAITLSN requires. Without it, the log has every position.
        std::function<bool(const std::string& position)> has_position = {};
    };

    explicit database_connection(hooks behavior);

    /// @param line A message without its line break.
    /// @return The complete answer.
    [[nodiscard]] std::string on_line(std::string_view line);

    /// @brief Drops the prepared statements, as after a reset that the other side has not asked
    /// for.
    /// @param fails_transaction An EXECUTE of a dropped name fails the transaction.
    void forget_prepared(bool fails_transaction = false) {
        prepared_.clear();
        unknown_name_fails_ = fails_transaction;
    }

    /// @brief Drops prepared statements and session values.
    void reset() {
        prepared_.clear();
        values_.clear();
    }

    /// @brief The next command of this kind is answered with the error instead of being carried
    /// out.
    void refuse_next(std::string verb, std::string code);

    [[nodiscard]] std::size_t prepared_count() const noexcept { return prepared_.size(); }

private:
    struct prepared_statement {
        std::string access;
        std::string shape;
    };

    enum class state : std::uint8_t { idle, in_transaction, failed };

    [[nodiscard]] std::string query(const std::string& id, std::string_view text);
    [[nodiscard]] std::string command(const std::string& verb, std::string_view rest,
                                      bool has_rest);
    [[nodiscard]] std::string execute(const std::string& id, std::string_view text);
    [[nodiscard]] std::string malformed(const std::string& reason);

    hooks hooks_;
    state state_ = state::idle;
    bool writable_ = false;
    bool unknown_name_fails_ = false;
    /// Number of transactions that have begun.
    std::uint64_t transactions_ = 0;
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_;
    /// Values and prepared statements when the transaction began.
    std::map<std::string, std::string> values_before_;
    std::map<std::string, prepared_statement> prepared_before_;
    std::map<std::string, std::string> refusals_;
    std::optional<std::string> required_position_;
};

} // namespace lovagemoor::session_standins
