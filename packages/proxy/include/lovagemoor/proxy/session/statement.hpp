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
    /// A statement that would exceed the protocol's limit on a message once this host has added to
    /// it what a target needs.
    too_large,
    /// Any other text.
    unknown,
};

/// @brief A statement sent by a caller.
struct statement {
    /// Chosen by the caller and covered by the signature of the target's result.
    std::string id;
    statement_kind kind = statement_kind::unknown;
    /// begin: the transaction is read-only. prepare: the statement only reads.
    bool read_only = false;
    /// set: name of the session value. prepare, execute, deallocate: name of the prepared
    /// statement.
    std::string name;
    /// set: the value. prepare: shape of the statement. execute: the arguments.
    std::string argument;
    /// The statement as the caller sent it, without its id.
    std::string text;
};

} // namespace lovagemoor::proxy
