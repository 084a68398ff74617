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
    /// True for a statement of an open transaction, which has its connection already.
    bool has_connection = false;
    time_point queued_at;
};

/// @brief First in, first out within a service, round-robin between services.
class round_robin_queue {
public:
    void push(const queued_request& request);
    [[nodiscard]] std::optional<queued_request> pop();
    bool erase(const service_id& service, std::uint64_t ticket);
    [[nodiscard]] std::vector<std::uint64_t> tickets() const;

    /// @return When the request that has waited longest was queued; max() when empty.
    [[nodiscard]] time_point oldest() const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

private:
    std::map<service_id, std::deque<queued_request>> waiting_;
    std::deque<service_id> turns_;
    std::size_t size_ = 0;
};

/// @brief State of a target's slots when the next request is chosen.
struct slot_state {
    std::uint32_t slots = 1;
    std::uint32_t running_bulk = 0;
    bool has_idle_connection = false;
};

/// @brief Queues of one target: urgent, normal and bulk.
class target_queue {
public:
    /// @param bulk_max_wait A bulk request that has waited longer goes first when no bulk runs.
    explicit target_queue(duration bulk_max_wait) : bulk_max_wait_{bulk_max_wait} {}

    void push(const queued_request& request);

    /// @brief Removes a request, for example because it was cancelled.
    /// @return False if it does not wait here.
    bool erase(const queued_request& request);

    /// @brief Takes the request that runs next.
    /// @pre A slot is free.
    [[nodiscard]] std::optional<queued_request> pop(time_point now, const slot_state& state);

    [[nodiscard]] std::array<std::size_t, urgency_count> sizes() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept;

    /// @return Tickets of the waiting requests that have no connection.
    [[nodiscard]] std::vector<std::uint64_t> tickets_without_connection() const;

private:
    struct urgency_level {
        /// Statements of open transactions go first, since they hold locks and a connection.
        round_robin_queue in_transaction;
        round_robin_queue single;
    };

    [[nodiscard]] static std::optional<queued_request> pop_level(urgency_level& level,
                                                                 const slot_state& state);

    duration bulk_max_wait_;
    std::array<urgency_level, urgency_count> levels_;
};

} // namespace lovagemoor::core
