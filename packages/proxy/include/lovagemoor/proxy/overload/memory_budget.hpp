#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/event.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Memory that is held for one caller.
struct memory_consumer {
    session_id session = 0;
    /// Incomplete input, waiting statements, unsent answers, values and prepared names.
    std::size_t bytes = 0;
    /// A statement of the session runs or waits.
    bool working = false;
    bool in_transaction = false;
    /// Time since the caller last sent or received bytes.
    core::duration without_progress{0};
};

/// @brief Limits of a memory_budget.
struct memory_limits {
    /// Bytes that may be held for all callers together; 0 for no limit.
    std::size_t total_bytes = 0;
    /// A caller that holds less may still send while others have to wait.
    std::size_t small_bytes = std::size_t{64} * 1024;
    /// Time for which waiting callers may keep the memory above the threshold before some are
    /// closed. Statements that are being served free their memory within it.
    core::duration relief_time = std::chrono::milliseconds{250};
    /// A transaction without a statement in progress whose caller neither sent nor received for
    /// this long makes no progress.
    core::duration progress_time = std::chrono::seconds{1};
};

/// @brief Decides when callers' input has to wait, and which callers are closed, so that the memory
/// held for them stays within a limit.
///
/// Up to three quarters of the limit, all callers may send. Above that, only small ones and those
/// in a transaction may, and if the others do not free memory in time, some callers are closed. The
/// last eighth is left to small callers, so that ordinary ones are served next to large ones.
class memory_budget {
public:
    explicit memory_budget(memory_limits limits);

    [[nodiscard]] bool limited() const noexcept { return limits_.total_bytes > 0; }

    /// @brief Notes bytes that are held since the last measurement. What was freed meanwhile is
    /// only taken into account by the next measurement.
    void add(std::size_t bytes) noexcept { used_ += bytes; }

    /// @return True if so much was added since the last measurement that it may decide differently.
    [[nodiscard]] bool measurement_due() const noexcept;

    /// @brief Replaces the estimate by a measurement.
    /// @param used Bytes held for all callers.
    void measure(core::time_point now, std::size_t used);

    /// @param held Bytes already held for the caller.
    /// @param wanted Bytes to read from it.
    /// @return False if the caller's input has to wait.
    [[nodiscard]] bool may_read(std::size_t held, std::size_t wanted,
                                bool in_transaction) const noexcept;

    /// @return True if input that waits may be read again.
    [[nodiscard]] bool relieved() const noexcept;

    /// @brief Chooses the callers to be closed at this time, after a measurement. Callers without
    /// work, and those that send a message, come before those whose statements run or wait, and the
    /// largest ones first. A transaction that makes progress is kept.
    [[nodiscard]] std::vector<session_id> choose_evicted(core::time_point now,
                                                         std::vector<memory_consumer> consumers);

    [[nodiscard]] std::size_t used_bytes() const noexcept { return used_; }

private:
    /// @return Bytes above which input waits.
    [[nodiscard]] std::size_t threshold() const noexcept { return limits_.total_bytes / 4 * 3; }

    /// @return Bytes that only small callers may exceed, and above which callers are closed at
    /// once.
    [[nodiscard]] std::size_t upper_threshold() const noexcept {
        return limits_.total_bytes / 8 * 7;
    }

    memory_limits limits_;
    /// The last measurement and what was added since.
    std::size_t used_ = 0;
    std::size_t measured_ = 0;
    /// Time since which the memory is above the threshold without having become less.
    std::optional<core::time_point> above_since_;
    std::size_t lowest_since_ = 0;
};

} // namespace lovagemoor::proxy
