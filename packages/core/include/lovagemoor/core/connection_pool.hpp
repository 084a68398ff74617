#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/records.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lovagemoor::core {

/// @brief Pool of the connections to one target. Connections are opened in advance, reset before
/// another session uses them, and closed when their job is abandoned.
class connection_pool {
public:
    /// @param ids Must outlive the pool.
    explicit connection_pool(id_source& ids) : ids_{ids} {}

    /// @brief Opens connections until `wanted` of them are not in use, but never more than `budget`
    /// in total, and closes idle connections in excess of the budget.
    void maintain(time_point now, const target_record& target, std::size_t budget,
                  std::size_t wanted, action_list& actions);

    /// @brief Closes all connections that are not in use by a request.
    void close_unused(action_list& actions);

    void on_opened(connection_id connection);

    /// @param capacity True when the target refused the connection for lack of capacity.
    /// @return True if the connection belonged to this pool.
    bool on_closed(time_point now, connection_id connection, bool capacity);

    /// @return An idle connection, now marked as in use; unset when none is idle.
    [[nodiscard]] std::optional<connection_id> acquire();

    /// @brief Starts a reset of a connection in use.
    /// @return The reset job; the connection is idle when the job has succeeded.
    job_id reset(connection_id connection, action_list& actions);

    void on_reset_finished(time_point now, connection_id connection, bool succeeded,
                           action_list& actions);

    /// @brief Closes a connection, for example because its job was abandoned.
    void close(connection_id connection, action_list& actions);

    /// @brief Removes a connection that broke, without an action to close it.
    void remove_broken(connection_id connection) { connections_.erase(connection); }

    [[nodiscard]] bool has_idle() const noexcept { return !idle_.empty(); }

    [[nodiscard]] std::size_t size() const noexcept { return connections_.size(); }

    /// @return True if the last attempt to connect found the target unreachable and no connection
    /// is open.
    [[nodiscard]] bool is_down() const noexcept;

    /// @return Earliest time at which a connection may be opened again after a failure.
    [[nodiscard]] time_point retry_at() const noexcept { return retry_at_; }

private:
    enum class state : std::uint8_t { opening, idle, in_use, resetting };

    void remove(connection_id connection);
    [[nodiscard]] std::size_t unused() const noexcept;

    id_source& ids_;
    std::map<connection_id, state> connections_;
    /// Used as a stack: the most recently used connection has the warmest caches.
    std::vector<connection_id> idle_;
    duration backoff_{0};
    time_point retry_at_;
    bool unreachable_ = false;
};

} // namespace lovagemoor::core
