#pragma once

#include <lovagemoor/proxy/replication_position.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lovagemoor::proxy {

enum class command_kind : std::uint8_t {
    /// Forwards a caller's statement with its id and text.
    forward,
    /// Executes a prepared statement for a caller, under the name used on the connection.
    execute,
    /// @name Commands issued by this host
    /// @{
    begin,
    begin_read_only,
    rollback,
    set_value,
    prepare_read,
    prepare_write,
    /// Drops a prepared statement.
    deallocate,
    /// Clears session values and prepared statements.
    reset,
    /// Queries role, term and log position.
    status,
    /// Pauses replication into a replica until it is promoted or released.
    hold_replication,
    /// Lets a replica receive again whose replication was paused.
    resume_replication,
    /// Makes a primary of a lower term a replica.
    step_down,
    /// @}
};

/// @brief A command sent over a connection to a target.
struct target_command {
    command_kind kind = command_kind::forward;
    /// Id of the caller's statement. Empty for commands issued by this host.
    std::string id;
    /// forward: text of the statement. Other commands: a name.
    std::string name;
    std::string argument;
    /// The command only runs if the target's log includes this position.
    std::optional<replication_position> required_position;
    /// hold_replication: a term greater than all terms in use. step_down: a term greater than that
    /// of the primary.
    core::term_number term = 0;
};

} // namespace lovagemoor::proxy
