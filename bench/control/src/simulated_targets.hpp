#pragma once

#include <lovagemoor/core/target_job.hpp>

#include <map>
#include <set>

namespace lovagemoor::bench {

/// @brief Target stand-ins that answer control calls at once and replicate without delay.
class simulated_targets {
public:
    /// @brief Adds a target in term 1.
    void add(const core::target_id& target, bool is_primary);

    /// @brief Stops a target, so that it answers no further calls.
    void stop(const core::target_id& target) { stopped_.insert(target); }

    [[nodiscard]] bool is_stopped(const core::target_id& target) const {
        return stopped_.contains(target);
    }

    /// @brief Executes a control call on a running target.
    [[nodiscard]] core::control_result perform(const core::target_id& target,
                                               const core::control_call& call);

private:
    std::map<core::target_id, core::status_reply> states_;
    std::set<core::target_id> stopped_;
};

} // namespace lovagemoor::bench
