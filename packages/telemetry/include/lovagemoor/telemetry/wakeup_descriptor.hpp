#pragma once

namespace lovagemoor::telemetry {

/// @brief File descriptor (eventfd) that wakes up a poll() in another thread by becoming readable.
class wakeup_descriptor {
public:
    /// @throws std::system_error when the eventfd cannot be created, for example because the
    /// process has no free descriptor.
    wakeup_descriptor();

    wakeup_descriptor(const wakeup_descriptor&) = delete;
    wakeup_descriptor& operator=(const wakeup_descriptor&) = delete;
    wakeup_descriptor(wakeup_descriptor&&) = delete;
    wakeup_descriptor& operator=(wakeup_descriptor&&) = delete;

    ~wakeup_descriptor();

    /// @brief Makes the descriptor readable. Thread-safe.
    void signal() noexcept;

    /// @brief Makes the descriptor unreadable until the next call of signal().
    void clear() noexcept;

    /// @return The descriptor to poll for POLLIN.
    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_;
};

} // namespace lovagemoor::telemetry
