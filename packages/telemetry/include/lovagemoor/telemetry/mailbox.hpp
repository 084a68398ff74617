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

/// @brief Queue with many producers and one consumer, in order of arrival.
template <typename T>
class mailbox {
public:
    /// @param capacity Highest number of messages that may wait.
    explicit mailbox(std::size_t capacity = std::numeric_limits<std::size_t>::max())
        : capacity_{capacity} {}

    /// @brief Adds a message; never waits for the consumer.
    /// @return False when the mailbox is full or closed; the message is dropped.
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

    /// @brief Waits for a message until the deadline.
    /// @return The oldest message; nothing after the deadline, or when the mailbox is closed and
    /// empty.
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

    /// @return All waiting messages, oldest first.
    [[nodiscard]] std::deque<T> pop_all() {
        const std::lock_guard lock{mutex_};
        return std::exchange(messages_, {});
    }

    /// @brief Rejects further messages and ends all waits. Waiting messages can still be taken.
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
