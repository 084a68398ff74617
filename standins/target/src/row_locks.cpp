#include "row_locks.hpp"

namespace lovagemoor::standin_target {

row_locks::acquisition row_locks::acquire(const std::string& key, session_id session) {
    const auto [position, inserted] = locks_.try_emplace(key, row_lock{session, {}});
    row_lock& lock = position->second;
    if (inserted || lock.holder == session) {
        return acquisition::granted;
    }
    if (waits_for(lock.holder, session)) {
        return acquisition::deadlock;
    }
    lock.queue.push_back(session);
    waiting_[session] = key;
    return acquisition::queued;
}

std::vector<session_id> row_locks::release_all(session_id session) {
    if (const auto wait = waiting_.find(session); wait != waiting_.end()) {
        std::erase(locks_.at(wait->second).queue, session);
        waiting_.erase(wait);
    }
    std::vector<session_id> granted;
    for (auto entry = locks_.begin(); entry != locks_.end();) {
        row_lock& lock = entry->second;
        if (lock.holder != session) {
            ++entry;
        } else if (lock.queue.empty()) {
            entry = locks_.erase(entry);
        } else {
            lock.holder = lock.queue.front();
            lock.queue.pop_front();
            waiting_.erase(lock.holder);
            granted.push_back(lock.holder);
            ++entry;
        }
    }
    return granted;
}

bool row_locks::is_locked_by_other(const std::string& key, session_id session) const {
    const auto found = locks_.find(key);
    return found != locks_.end() && found->second.holder != session;
}

bool row_locks::waits_for(session_id waiter, session_id target) const {
    while (waiter != target) {
        const auto wait = waiting_.find(waiter);
        if (wait == waiting_.end()) {
            return false;
        }
        waiter = locks_.at(wait->second).holder;
    }
    return true;
}

} // namespace lovagemoor::standin_target
