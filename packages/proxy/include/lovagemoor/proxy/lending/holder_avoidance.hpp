#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>

#include <chrono>
#include <map>
#include <utility>

namespace lovagemoor::proxy {

/// @brief Remembers which holders a borrower does not ask for a while.
class holder_avoidance {
public:
    /// A holder is avoided for this long after its first failure, and twice as long after each
    /// further one.
    static constexpr std::chrono::milliseconds first_pause{1000};
    static constexpr std::chrono::milliseconds longest_pause{8000};

    /// @brief The holder did not answer, was lost or stops. Failures while it is avoided do not
    /// count: one lost channel ends many loans.
    void on_failed(core::time_point now, const core::host_id& holder);

    /// @brief The holder could not reach a target, or not in time. It is avoided for this target
    /// only, and always for first_pause, so that borrowers return soon once the target is back.
    void on_target_failed(core::time_point now, const core::host_id& holder,
                          const core::target_id& target);

    /// @brief The holder has answered. Its next failure counts as the first one, unless the answer
    /// comes while it is avoided.
    void on_answered(core::time_point now, const core::host_id& holder);

    [[nodiscard]] bool avoided(core::time_point now, const core::host_id& holder) const;

    [[nodiscard]] bool avoided(core::time_point now, const core::host_id& holder,
                               const core::target_id& target) const;

    /// @brief Forgets pauses that have ended.
    void expire(core::time_point now);

private:
    struct pause {
        core::time_point until;
        core::duration length{0};
    };

    std::map<core::host_id, pause> holders_;
    std::map<std::pair<core::host_id, core::target_id>, core::time_point> targets_;
};

} // namespace lovagemoor::proxy
