#include <lovagemoor/session_standins/database_connection.hpp>

#include <utility>

namespace lovagemoor::session_standins {

namespace internal {

namespace {

/// @brief A word at the start of a text and what follows it.
struct split_text {
    std::string word;
    /// Without the space after the word.
    std::string_view rest;
    /// A space follows the word, even if nothing follows the space.
    bool has_rest = false;
};

split_text split(std::string_view text) {
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos) {
        return {std::string{text}, {}, false};
    }
    return {std::string{text.substr(0, space)}, text.substr(space + 1), true};
}

std::string error(const std::string& code) {
    return "ERROR " + code + " -\r\n";
}

const std::string done = "COMPLETE -\r\n";

} // namespace

} // namespace internal

statement_arguments split_arguments(const executed_statement& statement) {
    std::string_view arguments = statement.arguments;
    arguments.remove_prefix(arguments.empty() ? 0 : 1);
    const internal::split_text fields = internal::split(arguments);
    return {fields.word, std::string{fields.rest}};
}

database_connection::database_connection(hooks behavior) : hooks_{std::move(behavior)} {}

void database_connection::refuse_next(std::string verb, std::string code) {
    refusals_[std::move(verb)] = std::move(code);
}

std::string database_connection::malformed(const std::string& reason) {
    hooks_.on_malformed(reason);
    return internal::error("MALFORMED");
}

std::string database_connection::on_line(std::string_view line) {
    const internal::split_text message = internal::split(line);
    std::string answer;
    if (message.word == "QUERY") {
        const internal::split_text fields = internal::split(message.rest);
        answer = fields.word.empty() || !fields.has_rest ? malformed("QUERY without id or text")
                                                         : query(fields.word, fields.rest);
    } else if (message.word != "STARTUP") {
        answer = malformed("unknown message " + message.word);
    }
    const char letter = state_ == state::idle ? 'I' : state_ == state::in_transaction ? 'T' : 'E';
    return answer + "READY " + letter + ' ' + hooks_.position() + "\r\n";
}

std::string database_connection::query(const std::string& id, std::string_view text) {
    required_position_.reset();
    internal::split_text fields = internal::split(text);
    if (fields.word == "WAITLSN") {
        const internal::split_text position = internal::split(fields.rest);
        required_position_ = position.word;
        text = position.rest;
        fields = internal::split(text);
        if (fields.word != "READ" && fields.word != "BEGIN" && fields.word != "EXECUTE") {
            return malformed("WAITLSN before " + fields.word);
        }
        if (hooks_.has_position && !hooks_.has_position(position.word)) {
            return internal::error("LAGGING");
        }
    }
    if (state_ == state::failed && fields.word != "ROLLBACK") {
        return internal::error("MALFORMED");
    }
    const auto refusal = refusals_.find(fields.word);
    if (refusal != refusals_.end()) {
        const std::string code = refusal->second;
        refusals_.erase(refusal);
        if (state_ == state::in_transaction && fields.word != "ROLLBACK") {
            state_ = state::failed;
        }
        return internal::error(code);
    }
    const bool for_caller = fields.word == "READ" || fields.word == "WRITE" ||
                            fields.word == "COMMIT" || fields.word == "EXECUTE";
    if (for_caller) {
        return execute(id, text);
    }
    return id == "-" ? command(fields.word, fields.rest, fields.has_rest)
                     : malformed("command " + fields.word + " with the id of a caller");
}

std::string database_connection::command(const std::string& verb, std::string_view rest,
                                         bool has_rest) {
    if (verb == "BEGIN") {
        const bool read_only = rest == "READ";
        if (has_rest && !read_only) {
            return malformed("BEGIN " + std::string{rest});
        }
        if (state_ != state::idle) {
            return malformed("BEGIN in a transaction");
        }
        if (const std::optional<std::string> code = hooks_.begin(read_only)) {
            return internal::error(*code);
        }
        state_ = state::in_transaction;
        writable_ = !read_only;
        values_before_ = values_;
        prepared_before_ = prepared_;
        ++transactions_;
    } else if (verb == "ROLLBACK") {
        if (state_ != state::idle) {
            values_ = values_before_;
            prepared_ = prepared_before_;
        }
        state_ = state::idle;
    } else if (verb == "SET") {
        const internal::split_text fields = internal::split(rest);
        if (fields.word.empty() || !fields.has_rest) {
            return malformed("SET without name or value");
        }
        values_[fields.word] = fields.rest;
    } else if (verb == "PREPARE") {
        const internal::split_text name = internal::split(rest);
        const internal::split_text access = internal::split(name.rest);
        if (name.word.empty() || (access.word != "READ" && access.word != "WRITE") ||
            !access.has_rest || access.rest.empty()) {
            return malformed("PREPARE without name, access or shape");
        }
        prepared_[name.word] = {access.word, std::string{access.rest}};
    } else if (verb == "DEALLOC") {
        if (has_rest && prepared_.erase(std::string{rest}) == 0) {
            return internal::error("NOPREPARED");
        }
    } else if (verb == "DISCARD") {
        values_.clear();
        prepared_.clear();
    } else if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
        return hooks_.administer(verb + (has_rest ? " " + std::string{rest} : std::string{}));
    } else {
        return malformed("unknown command " + verb);
    }
    return internal::done;
}

std::string database_connection::execute(const std::string& id, std::string_view text) {
    const internal::split_text fields = internal::split(text);
    executed_statement statement;
    statement.id = id;
    statement.text = text;
    statement.access = fields.word;
    statement.arguments = text.substr(fields.word.size());
    statement.values = values_;
    statement.required_position = required_position_;
    statement.transaction = state_ == state::in_transaction ? transactions_ : 0;
    statement.writable = statement.transaction != 0 && writable_;
    if (fields.word == "EXECUTE") {
        const internal::split_text name = internal::split(fields.rest);
        const auto prepared = prepared_.find(name.word);
        if (prepared == prepared_.end()) {
            if (state_ == state::in_transaction && unknown_name_fails_) {
                state_ = state::failed;
            }
            return internal::error("NOPREPARED");
        }
        statement.access = prepared->second.access;
        statement.shape = prepared->second.shape;
        statement.arguments = fields.rest.substr(name.word.size());
    }
    const outcome result = hooks_.run(statement);
    if (statement.transaction != 0) {
        state_ = result.failed                  ? state::failed
                 : statement.access == "COMMIT" ? state::idle
                                                : state::in_transaction;
    }
    return result.lines;
}

} // namespace lovagemoor::session_standins
