#pragma once

#include <cstdint>
#include <string>

namespace lovagemoor::proxy {

enum class statement_kind : std::uint8_t {
    begin,
    commit,
    rollback,
    read,
    write,
    /// Sets a session value.
    set,
    prepare,
    /// Runs a prepared statement.
    execute,
    deallocate,
    /// The text is none of the above.
    unknown,
};

/// @brief One statement of a caller.
struct statement {
    /// Chosen by the caller; targets sign their results for it.
    std::string id;
    statement_kind kind = statement_kind::unknown;
    /// begin: of a read-only transaction; prepare: of a statement that only reads.
    bool read_only = false;
    /// set: the value's name; prepare, execute, deallocate: the prepared statement's name.
    std::string name;
    /// set: the value; prepare: the statement's shape; execute: its arguments.
    std::string argument;
    /// The statement as the caller sent it, without its id.
    std::string text;
};

} // namespace lovagemoor::proxy
