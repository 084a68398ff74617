#pragma once

#include <lovagemoor/telemetry/mailbox.hpp>
#include <lovagemoor/telemetry/wakeup_descriptor.hpp>

#include <cstddef>
#include <deque>
#include <limits>
#include <utility>

namespace lovagemoor::telemetry {

/// @brief Mailbox whose consumer waits for messages with poll() on a file descriptor.
template <typename T>
class polled_mailbox {
public:
    /// @param capacity Limit on the number of waiting messages.
    explicit polled_mailbox(std::size_t capacity = std::numeric_limits<std::size_t>::max())
        : messages_{capacity} {}

    /// @brief Adds a message and makes the descriptor readable.
    /// @return False if the mailbox is full or closed; the message is then dropped.
    [[nodiscard]] bool push(T message) {
        if (!messages_.push(std::move(message))) {
            return false;
        }
        wakeup_.signal();
        return true;
    }

    /// @brief Makes the descriptor unreadable and removes all waiting messages.
    /// @return The messages, oldest first.
    [[nodiscard]] std::deque<T> pop_all() {
        // Clear first, so that a message pushed between the two calls leaves the descriptor
        // readable.
        wakeup_.clear();
        return messages_.pop_all();
    }

    /// @brief Rejects further messages and makes the descriptor readable.
    void close() {
        messages_.close();
        wakeup_.signal();
    }

    [[nodiscard]] bool closed() const { return messages_.closed(); }

    /// @return The descriptor to poll for POLLIN.
    [[nodiscard]] int descriptor() const noexcept { return wakeup_.descriptor(); }

private:
    mailbox<T> messages_;
    wakeup_descriptor wakeup_;
};

} // namespace lovagemoor::telemetry
