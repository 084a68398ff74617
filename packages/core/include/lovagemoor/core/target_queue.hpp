#pragma once

#include <lovagemoor/core/admission_controller.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/time.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lovagemoor::core {

/// @brief A request that waits for a slot of a target.
struct queued_request {
    std::uint64_t ticket = 0;
    service_id service;
    urgency priority = urgency::normal;
    /// True for a statement in an open transaction, which already has a connection.
    bool has_connection = false;
    time_point queued_at;
};

/// @brief Queue that serves services round-robin and the requests of one service in FIFO order.
class round_robin_queue {
public:
    void push(const queued_request& request);
    [[nodiscard]] std::optional<queued_request> pop();
    bool erase(const service_id& service, std::uint64_t ticket);
    [[nodiscard]] std::vector<std::uint64_t> tickets() const;

    /// @return Time at which the longest waiting request was queued; max() if the queue is empty.
    [[nodiscard]] time_point oldest() const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    std::map<service_id, std::deque<queued_request>> waiting_;
    std::deque<service_id> turns_;
    std::size_t size_ = 0;
};

/// @brief State of a target's slots, from which the queue chooses the next request.
struct slot_state {
    std::uint32_t slots = 1;
    std::uint32_t running_bulk = 0;
    bool has_idle_connection = false;
};

/// @brief Priority queue of the requests that wait for one target, with the levels urgent, normal
/// and bulk.
class target_queue {
public:
    /// @param bulk_max_wait A bulk request that has waited longer is served first, provided that no
    /// bulk request is running.
    explicit target_queue(duration bulk_max_wait) : bulk_max_wait_{bulk_max_wait} {}

    void push(const queued_request& request);

    /// @brief Removes a request, for example because it was cancelled.
    /// @return False if the request is not in this queue.
    bool erase(const queued_request& request);

    /// @brief Removes and returns the request that must run next.
    /// @pre A slot is free.
    [[nodiscard]] std::optional<queued_request> pop(time_point now, const slot_state& state);

    [[nodiscard]] std::array<std::size_t, urgency_count> sizes() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept;

    /// @return Tickets of the queued requests that have no connection.
    [[nodiscard]] std::vector<std::uint64_t> tickets_without_connection() const;

private:
    struct urgency_level {
        /// Statements in open transactions are served first, because they hold locks and a
        /// connection.
        round_robin_queue in_transaction;
        round_robin_queue single;
    };

    [[nodiscard]] static std::optional<queued_request> pop_level(urgency_level& level,
                                                                 const slot_state& state);

    duration bulk_max_wait_;
    std::array<urgency_level, urgency_count> levels_;
};

} // namespace lovagemoor::core
