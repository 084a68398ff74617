#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/pool/prepared_names.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace lovagemoor::proxy {

/// @brief The kind of command that a reply belongs to.
enum class reply_role : std::uint8_t {
    /// Sets session values, prepares statements or resets the connection before a statement.
    preparation,
    /// Checks that the target is the primary before a read that must see every acknowledged write.
    leadership_check,
    /// Ends the empty transaction of a leadership check or probe.
    check_end,
    /// Begins a caller's transaction.
    transaction_begin,
    /// A caller's statement.
    caller_statement,
    /// Rolls back a transaction, after which the connection is free.
    release,
    /// Checks that the target is the primary, independently of any request.
    probe,
    /// Queries the status of the target, or holds its replication, for a failover.
    inspection,
};

struct expected_reply {
    reply_role role = reply_role::preparation;
    core::time_point sent;
};

enum class connection_phase : std::uint8_t { opening, idle, in_use };

/// @brief A connection to a target and its state at the target.
struct target_connection {
    core::connection_id id = 0;
    core::target_id target;
    /// Organisation that the target was told. Statements of no other one may run on the connection.
    core::organisation_id organisation;
    connection_phase phase = connection_phase::opening;
    /// Session values that are set at the target.
    std::map<std::string, std::string> values;
    /// False if a rollback may have reverted session values, or the target has dropped them.
    bool values_known = true;
    prepared_names prepared;
    std::deque<expected_reply> expected;
    /// Session that uses or last used the connection; 0 if none.
    session_id user = 0;
    /// Time of the last use by a session. Probes do not count.
    core::time_point last_used;
};

} // namespace lovagemoor::proxy
