#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::standin_target {

using session_id = std::uint64_t;

/// @brief Exclusive row locks, which sessions hold until the end of their transaction. Waiting
/// sessions are granted a lock in the order of their requests.
class row_locks {
public:
    enum class acquisition { granted, queued, deadlock };

    /// @brief Acquires a lock or queues the session for it. On `deadlock`, the session is not
    /// queued.
    [[nodiscard]] acquisition acquire(const std::string& key, session_id session);

    /// @brief Releases all locks of a session and removes it from the queue that it waits in.
    /// @return Sessions that were granted a lock by this.
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
