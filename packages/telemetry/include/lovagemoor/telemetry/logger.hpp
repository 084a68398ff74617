#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/ids.hpp>

#include <cstdint>
#include <iosfwd>
#include <memory>

namespace lovagemoor::telemetry {

/// @brief Writes log events as key=value lines, see format_log_line().
///
/// A background thread writes the lines, so that a slow reader of stderr does not block the host.
/// The queue holds up to 10,000 lines; further lines are dropped and counted.
class logger {
public:
    /// @brief Logs to stderr.
    /// @param host Value of the key "host" in every line.
    /// @param min_level Events below this level are not written.
    logger(core::host_id host, core::log_event::level min_level);

    /// @brief Logs to a stream.
    /// @param output Receives the lines; must outlive the logger.
    logger(core::host_id host, core::log_event::level min_level, std::ostream& output);

    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;
    logger(logger&&) = delete;
    logger& operator=(logger&&) = delete;

    /// @brief Writes the queued lines and stops the background thread.
    ~logger();

    /// @brief Queues an event. Thread-safe, never blocks.
    void perform(const core::log_event& event);

    /// @brief Waits until all queued lines are written.
    void flush();

    /// @return Number of lines that all loggers of the process have dropped because a queue was
    /// full.
    [[nodiscard]] static std::uint64_t dropped_lines() noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::telemetry
