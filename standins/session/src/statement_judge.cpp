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
    statements_[id] = {session, std::string{text}};
}

void statement_judge::on_answered(session_id id, const std::string& statement,
                                  const std::string& error_code, char state) {
    caller_session& caller = sessions_[id];
    const bool success = error_code.empty();
    const std::string& text = statements_.at(statement).text;
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
               caller.prepared.contains(std::string{name})) {
        report("PINNED", statement + " was called unknown: " + internal::quoted(text));
    }
    caller.in_transaction = state == 'T' || state == 'E';
    if (!caller.in_transaction) {
        caller.first_statement.clear();
    }
}

void statement_judge::on_run(std::uint64_t connection, const executed_statement& run) {
    const auto sent = statements_.find(run.id);
    if (sent == statements_.end()) {
        report("UNASKED", run.id + " ran " + internal::quoted(run.text) + ", which nobody sent");
        return;
    }
    caller_session& caller = sessions_[sent->second.session];
    if (internal::word_at(run.text, 0) == "EXECUTE") {
        check_execute(caller, sent->second, run);
    } else if (run.text != sent->second.text) {
        report("UNASKED", run.id + " sent " + internal::quoted(sent->second.text) + ", ran " +
                              internal::quoted(run.text));
    }
    if (run.values != caller.values) {
        report("PINNED", run.id + " ran with other session values");
    }
    check_transaction(sent->second.session, connection, run);
}

void statement_judge::check_transaction(session_id id, std::uint64_t connection,
                                        const executed_statement& run) {
    caller_session& caller = sessions_[id];
    if ((run.transaction != 0) != caller.in_transaction) {
        report("PINNED", run.id + " ran in another transaction");
        return;
    }
    if (run.transaction == 0) {
        return;
    }
    const auto [owner, is_new] =
        transaction_owners_.emplace(std::pair{connection, run.transaction}, id);
    if (!is_new && owner->second != id) {
        report("PINNED", run.id + " ran in the transaction of another session");
    }
    // The first statement may run again elsewhere if its connection was lost, which rolls back.
    if (caller.first_statement.empty() || caller.first_statement == run.id) {
        caller.first_statement = run.id;
        caller.connection = connection;
    } else if (caller.connection != connection) {
        report("PINNED", run.id + " ran on another connection than its transaction");
    }
}

void statement_judge::check_execute(const caller_session& caller, const sent_statement& sent,
                                    const executed_statement& run) {
    ++executed_;
    const std::string_view text = sent.text;
    const std::string_view verb = internal::word_at(text, 0);
    const std::string_view name = internal::word_at(text, verb.size() + 1);
    const std::string_view arguments =
        text.substr(std::min(verb.size() + 1 + name.size(), text.size()));
    if (verb != "EXECUTE" || arguments != run.arguments) {
        report("UNASKED",
               run.id + " sent " + internal::quoted(text) + ", ran " + internal::quoted(run.text));
    }
    const auto prepared = caller.prepared.find(std::string{name});
    if (prepared == caller.prepared.end()) {
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
