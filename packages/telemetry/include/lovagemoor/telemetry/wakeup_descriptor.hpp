#pragma once

namespace lovagemoor::telemetry {

/// @brief Descriptor (eventfd) that becomes readable to end a poll in another thread.
class wakeup_descriptor {
public:
    /// @throws std::system_error when the process has no free descriptor.
    wakeup_descriptor();

    wakeup_descriptor(const wakeup_descriptor&) = delete;
    wakeup_descriptor& operator=(const wakeup_descriptor&) = delete;
    wakeup_descriptor(wakeup_descriptor&&) = delete;
    wakeup_descriptor& operator=(wakeup_descriptor&&) = delete;

    ~wakeup_descriptor();

    /// @brief Makes the descriptor readable; may be called from any thread.
    void signal() noexcept;

    /// @brief Makes the descriptor unreadable until the next signal.
    void clear() noexcept;

    /// @return The descriptor to poll for POLLIN.
    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

private:
    int descriptor_;
};

} // namespace lovagemoor::telemetry
