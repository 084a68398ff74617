#include <lovagemoor/core/connection_pool.hpp>

#include <algorithm>

namespace lovagemoor::core {

namespace internal {

/// Bounds of the pause after a failed attempt to connect; the pause doubles with each failure.
constexpr duration min_backoff = std::chrono::milliseconds{50};
constexpr duration max_backoff = std::chrono::seconds{1};

} // namespace internal

std::size_t connection_pool::unused() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& entry) { return entry.second != state::in_use; }));
}

void connection_pool::maintain(time_point now, const target_record& target, std::size_t budget,
                               std::size_t wanted, action_list& actions) {
    while (connections_.size() > budget && !idle_.empty()) {
        close(idle_.front(), actions);
    }
    if (now < retry_at_) {
        return;
    }
    // While the target is down, one attempt at a time is enough to detect that it is back.
    const std::size_t limit = unreachable_ ? std::min<std::size_t>(wanted, 1) : wanted;
    for (std::size_t count = unused(); count < limit && connections_.size() < budget; ++count) {
        const connection_id connection = ids_.next();
        connections_.emplace(connection, state::opening);
        actions.emplace_back(open_connection{connection, target});
    }
}

void connection_pool::close_unused(action_list& actions) {
    std::vector<connection_id> unused_connections;
    for (const auto& [connection, current] : connections_) {
        if (current != state::in_use) {
            unused_connections.push_back(connection);
        }
    }
    for (const connection_id connection : unused_connections) {
        close(connection, actions);
    }
}

void connection_pool::on_opened(connection_id connection) {
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second != state::opening) {
        return;
    }
    found->second = state::idle;
    idle_.push_back(connection);
    backoff_ = duration{0};
    unreachable_ = false;
}

bool connection_pool::on_closed(time_point now, connection_id connection, bool capacity) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return false;
    }
    if (found->second == state::opening) {
        // Attempts that were started together fail together, so they count as one failure.
        if (now >= retry_at_) {
            backoff_ = std::clamp(backoff_ * 2, internal::min_backoff, internal::max_backoff);
            retry_at_ = now + backoff_;
        }
        // A target that refuses a connection for lack of capacity is alive.
        unreachable_ = !capacity;
    }
    remove(connection);
    return true;
}

std::optional<connection_id> connection_pool::acquire() {
    if (idle_.empty()) {
        return std::nullopt;
    }
    const connection_id connection = idle_.back();
    idle_.pop_back();
    connections_[connection] = state::in_use;
    return connection;
}

job_id connection_pool::reset(connection_id connection, action_list& actions) {
    connections_[connection] = state::resetting;
    const job_id job = ids_.next();
    actions.emplace_back(run_job{connection, job, reset_job{}});
    return job;
}

void connection_pool::on_reset_finished(time_point /*now*/, connection_id connection,
                                        bool succeeded, action_list& actions) {
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second != state::resetting) {
        return;
    }
    if (!succeeded) {
        close(connection, actions);
        return;
    }
    found->second = state::idle;
    idle_.push_back(connection);
}

void connection_pool::close(connection_id connection, action_list& actions) {
    remove(connection);
    actions.emplace_back(close_connection{connection});
}

void connection_pool::remove(connection_id connection) {
    connections_.erase(connection);
    std::erase(idle_, connection);
}

bool connection_pool::is_down() const noexcept {
    return unreachable_ &&
           std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& entry) { return entry.second == state::opening; });
}

} // namespace lovagemoor::core
