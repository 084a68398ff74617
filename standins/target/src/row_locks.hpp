#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

using session_id = std::uint64_t;

/// @brief Exclusive row locks that are held until the end of a transaction, granted in order.
class row_locks {
public:
    enum class acquisition { granted, queued, deadlock };

    /// @brief Takes a lock or queues for it; `deadlock` leaves nothing queued.
    [[nodiscard]] acquisition acquire(const std::string& key, session_id session);

    /// @brief Releases all locks of a session and its place in a queue.
    /// @return Sessions that were granted the lock that they were queued for.
    [[nodiscard]] std::vector<session_id> release_all(session_id session);

    [[nodiscard]] bool is_locked_by_other(const std::string& key, session_id session) const;

private:
    struct row_lock {
        session_id holder = 0;
        std::deque<session_id> queue;
    };

    [[nodiscard]] bool waits_for(session_id waiter, session_id target) const;

    std::map<std::string, row_lock> locks_;
    std::map<session_id, std::string> waiting_;
};

} // namespace lovagemoor::standin_target
