#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace lovagemoor::proxy {

/// @brief What a reply on a connection answers.
enum class reply_role : std::uint8_t {
    /// Session values, prepared statements and resets ahead of a statement.
    preparation,
    /// Proof of leadership ahead of a read that must see every acknowledged write.
    leadership_check,
    /// End of the empty transaction of a leadership check.
    check_end,
    /// Begin of a caller's transaction.
    transaction_begin,
    /// A caller's statement.
    caller_statement,
    /// Rollback of a transaction; the connection is free afterwards.
    release,
    /// Proof of leadership for no caller in particular.
    probe,
    /// Status of the target, or of its replication, for a promotion.
    inspection,
};

struct expected_reply {
    reply_role role = reply_role::preparation;
    core::time_point sent;
};

enum class connection_phase : std::uint8_t { opening, idle, in_use };

/// @brief A connection to a target and what the target holds for it.
struct target_connection {
    core::connection_id id = 0;
    core::target_id target;
    connection_phase phase = connection_phase::opening;
    /// Session values in force at the target.
    std::map<std::string, std::string> values;
    /// False when a rollback may have undone values.
    bool values_known = true;
    std::set<std::string> prepared;
    std::deque<expected_reply> expected;
    /// The session that uses or last used it; 0 for none.
    session_id user = 0;
    /// Last use for a session; probes do not count.
    core::time_point last_used;
};

} // namespace lovagemoor::proxy
