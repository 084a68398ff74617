#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <limits>
#include <mutex>
#include <optional>
#include <utility>

namespace lovagemoor::telemetry {

/// @brief Thread-safe FIFO queue with many producers and one consumer.
template <typename T>
class mailbox {
public:
    /// @param capacity Limit on the number of waiting messages.
    explicit mailbox(std::size_t capacity = std::numeric_limits<std::size_t>::max())
        : capacity_{capacity} {}

    /// @brief Adds a message without waiting for the consumer.
    /// @return False if the mailbox is full or closed; the message is then dropped.
    [[nodiscard]] bool push(T message) {
        {
            const std::lock_guard lock{mutex_};
            if (closed_ || messages_.size() >= capacity_) {
                return false;
            }
            messages_.push_back(std::move(message));
        }
        changed_.notify_one();
        return true;
    }

    /// @brief Waits until there is a message, the mailbox is closed, or the deadline has passed.
    /// @return The oldest message, removed from the mailbox; nothing if the mailbox is empty.
    [[nodiscard]] std::optional<T> wait_until(std::chrono::steady_clock::time_point deadline) {
        std::unique_lock lock{mutex_};
        changed_.wait_until(lock, deadline, [this] { return closed_ || !messages_.empty(); });
        if (messages_.empty()) {
            return std::nullopt;
        }
        std::optional<T> message{std::move(messages_.front())};
        messages_.pop_front();
        return message;
    }

    /// @brief Removes all waiting messages.
    /// @return The messages, oldest first.
    [[nodiscard]] std::deque<T> pop_all() {
        const std::lock_guard lock{mutex_};
        return std::exchange(messages_, {});
    }

    /// @brief Rejects further messages and ends all waits. Messages that already wait can still be
    /// received.
    void close() {
        {
            const std::lock_guard lock{mutex_};
            closed_ = true;
        }
        changed_.notify_all();
    }

    [[nodiscard]] bool closed() const {
        const std::lock_guard lock{mutex_};
        return closed_;
    }

    [[nodiscard]] std::size_t size() const {
        const std::lock_guard lock{mutex_};
        return messages_.size();
    }

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<T> messages_;
    bool closed_ = false;
};

} // namespace lovagemoor::telemetry
