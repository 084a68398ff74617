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

/// @brief Connections of one target: opened in advance, reset between sessions, closed when their
/// job is abandoned.
class connection_pool {
public:
    /// @param ids Must outlive the pool.
    explicit connection_pool(id_source& ids) : ids_{ids} {}

    /// @brief Opens connections until `wanted` of them are not in use, within `budget` in total,
    /// and closes idle ones above the budget.
    void maintain(time_point now, const target_record& target, std::size_t budget,
                  std::size_t wanted, action_list& actions);

    /// @brief Closes all connections that no request uses.
    void close_unused(action_list& actions);

    void on_opened(connection_id connection);

    /// @return True if the connection belonged to this pool.
    bool on_closed(time_point now, connection_id connection, bool capacity);

    /// @return A connection that is now in use, unset when none is idle.
    [[nodiscard]] std::optional<connection_id> acquire();

    /// @brief Resets a connection in use; it is idle when the returned job has finished.
    job_id reset(connection_id connection, action_list& actions);

    void on_reset_finished(time_point now, connection_id connection, bool succeeded,
                           action_list& actions);

    /// @brief Closes a connection, for example because its job was abandoned.
    void close(connection_id connection, action_list& actions);

    /// @brief Forgets a connection that broke.
    void remove_broken(connection_id connection) { connections_.erase(connection); }

    [[nodiscard]] bool has_idle() const noexcept { return !idle_.empty(); }

    [[nodiscard]] std::size_t size() const noexcept { return connections_.size(); }

    /// @return True after a failed attempt to connect while no connection is open.
    [[nodiscard]] bool is_down() const noexcept;

    /// @return When another connection may be opened after a failure.
    [[nodiscard]] time_point retry_at() const noexcept { return retry_at_; }

private:
    enum class state : std::uint8_t { opening, idle, in_use, resetting };

    void remove(connection_id connection);
    [[nodiscard]] std::size_t unused() const noexcept;

    id_source& ids_;
    std::map<connection_id, state> connections_;
    /// Last in, first out: the connection used last has the warmest caches.
    std::vector<connection_id> idle_;
    duration backoff_{0};
    time_point retry_at_;
    bool unreachable_ = false;
};

} // namespace lovagemoor::core
