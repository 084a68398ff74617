#include <lovagemoor/session_standins/statement_judge.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::session_standins {

namespace internal {

namespace {

/// Longest part of a statement that a report quotes.
constexpr std::size_t max_quoted_bytes = 120;

std::string quoted(std::string_view text) {
    return '"' + std::string{text.substr(0, max_quoted_bytes)} +
           (text.size() > max_quoted_bytes ? "\"..." : "\"");
}

/// @return The word of a text that starts at an offset.
std::string_view word_at(std::string_view text, std::size_t start) {
    start = std::min(start, text.size());
    return text.substr(start, std::min(text.find(' ', start), text.size()) - start);
}

/// @return What follows the words before it and the space behind them.
std::string_view after(std::string_view text, std::size_t bytes) {
    return text.substr(std::min(bytes + 1, text.size()));
}

} // namespace

} // namespace internal

void statement_judge::on_sent(session_id session, const std::string& id, std::string_view text) {
    statements_[id] = {session, std::string{text}, sessions_[session]};
}

void statement_judge::on_answered(session_id id, const std::string& statement,
                                  const std::string& error_code, char state) {
    session_state& caller = sessions_[id];
    const bool success = error_code.empty();
    const sent_statement& sent = statements_.at(statement);
    const std::string& text = sent.text;
    const std::string_view verb = internal::word_at(text, 0);
    const std::string_view name = internal::word_at(text, verb.size() + 1);
    const std::string_view rest = internal::after(text, verb.size() + 1 + name.size());
    if (success && verb == "SET") {
        caller.values[std::string{name}] = rest;
    } else if (success && verb == "PREPARE") {
        const std::string_view access = internal::word_at(rest, 0);
        caller.prepared[std::string{name}] = {std::string{access},
                                              std::string{internal::after(rest, access.size())}};
    } else if (success && verb == "DEALLOC") {
        caller.prepared.erase(std::string{name});
    } else if (error_code == "NOPREPARED" && verb == "EXECUTE" &&
               sent.state.prepared.contains(std::string{name})) {
        report("PINNED", statement + " was answered with NOPREPARED: " + internal::quoted(text));
    }
    const bool in_transaction = state == 'T' || state == 'E';
    caller.transactions += in_transaction && !caller.in_transaction ? 1 : 0;
    caller.in_transaction = in_transaction;
}

bool statement_judge::on_received(const executed_statement& run) {
    const auto found = statements_.find(run.id);
    if (found == statements_.end()) {
        report("UNASKED", run.id + " ran " + internal::quoted(run.text) + ", which nobody sent");
        return false;
    }
    const std::string_view sent = found->second.text;
    bool is_unchanged = run.text == sent;
    if (internal::word_at(run.text, 0) == "EXECUTE") {
        // The host may rename a prepared statement.
        const std::string_view verb = internal::word_at(sent, 0);
        const std::string_view name = internal::word_at(sent, verb.size() + 1);
        is_unchanged =
            verb == "EXECUTE" &&
            run.arguments == sent.substr(std::min(verb.size() + 1 + name.size(), sent.size()));
    }
    if (!is_unchanged) {
        report("UNASKED",
               run.id + " sent " + internal::quoted(sent) + ", ran " + internal::quoted(run.text));
    }
    return is_unchanged;
}

bool statement_judge::on_run(std::uint64_t connection, const executed_statement& run) {
    const bool is_unchanged = on_received(run);
    const auto sent = statements_.find(run.id);
    if (sent == statements_.end()) {
        return false;
    }
    if (internal::word_at(run.text, 0) == "EXECUTE") {
        check_execute(sent->second, run);
    }
    if (run.values != sent->second.state.values) {
        report("PINNED", run.id + " ran with other session values");
    }
    check_transaction(sent->second, connection, run);
    return is_unchanged;
}

void statement_judge::check_transaction(const sent_statement& sent, std::uint64_t connection,
                                        const executed_statement& run) {
    if ((run.transaction != 0) != sent.state.in_transaction) {
        report("PINNED", run.id + " ran in another transaction");
        return;
    }
    if (run.transaction == 0) {
        return;
    }
    const std::pair caller_transaction{sent.session, sent.state.transactions};
    const auto [owner, is_new] =
        transaction_owners_.emplace(std::pair{connection, run.transaction}, caller_transaction);
    if (!is_new && owner->second != caller_transaction) {
        report("PINNED", run.id + " ran in another caller's transaction");
    }
    // The first statement may run again elsewhere if its connection was lost, which rolls back.
    transaction_start& start = transaction_starts_[caller_transaction];
    if (start.statement.empty() || start.statement == run.id) {
        start = {run.id, connection};
    } else if (start.connection != connection) {
        report("PINNED", run.id + " ran on another connection than its transaction");
    }
}

void statement_judge::check_execute(const sent_statement& sent, const executed_statement& run) {
    ++executed_;
    const std::string_view text = sent.text;
    const std::string_view verb = internal::word_at(text, 0);
    const std::string_view name = internal::word_at(text, verb.size() + 1);
    const auto prepared = sent.state.prepared.find(std::string{name});
    if (prepared == sent.state.prepared.end()) {
        report("PINNED", run.id + " ran a name that its session had not prepared");
    } else if (prepared->second.access != run.access || prepared->second.shape != run.shape) {
        report("PINNED",
               run.id + " prepared " +
                   internal::quoted(prepared->second.access + ' ' + prepared->second.shape) +
                   ", ran " + internal::quoted(run.access + ' ' + run.shape));
    }
}

void statement_judge::report(const std::string& rule, const std::string& what) {
    violations_.push_back(rule + ": " + what);
}

} // namespace lovagemoor::session_standins
