#pragma once

#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/target_job.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace lovagemoor::core {

/// @brief What a read needs of its target.
struct read_requirement {
    group_id group;
    /// Without a max_age the read is fresh and only the primary can serve it.
    read_guard guard;
    /// Targets that were tried without success.
    std::vector<target_id> excluded;
    /// Spreads reads over targets of equal cost.
    std::uint64_t salt = 0;
    /// Replica that is known to hold the guard's position; empty when none is known.
    target_id holder{};
};

struct read_choice {
    target_id target;
    bool is_primary = false;
};

/// @brief Selects the target of a read with the lowest expected cost: queue wait + distance + lag
/// wait. The target itself checks the guard, so a wrong estimate costs a retry and never
/// correctness.
/// @return Unset when no target can be correct.
[[nodiscard]] std::optional<read_choice>
select_read_target(time_point now, const cluster_view& view, const read_requirement& requirement);

} // namespace lovagemoor::core
