#pragma once

#include <lovagemoor/proxy/replication_position.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lovagemoor::proxy {

enum class command_kind : std::uint8_t {
    /// A caller's statement with its id and text.
    forward,
    /// A caller's execution of a prepared statement, under the name that the connection knows.
    execute,
    /// @name Commands of this host
    /// @{
    begin,
    begin_read_only,
    rollback,
    set_value,
    prepare_read,
    prepare_write,
    /// Clears session values and prepared statements.
    reset,
    /// Asks for role, term and position.
    status,
    /// Stops replication into a replica until it is promoted or released.
    hold_replication,
    /// @}
};

/// @brief One command on a connection to a target.
struct target_command {
    command_kind kind = command_kind::forward;
    /// Id of the caller's statement; empty for commands of this host.
    std::string id;
    /// forward: the statement's text; else a name.
    std::string name;
    std::string argument;
    /// The command only runs if the target's log contains this point.
    std::optional<replication_position> required_position;
    /// hold_replication: term above all terms in use.
    core::term_number term = 0;
};

} // namespace lovagemoor::proxy
