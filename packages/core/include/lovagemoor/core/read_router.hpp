#pragma once

#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/target_job.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace lovagemoor::core {

/// @brief Conditions that the target of a read must meet.
struct read_requirement {
    group_id group;
    /// Without a max_age the read must be fresh, so only the primary can serve it.
    read_guard guard;
    /// Targets that earlier attempts tried without success.
    std::vector<target_id> excluded;
    /// Seed that spreads reads over targets of equal cost.
    std::uint64_t salt = 0;
    /// Replica that is known to hold the guard's position; empty when none is known.
    target_id holder{};
};

struct read_choice {
    target_id target;
    bool is_primary = false;
};

/// @brief Selects the target with the lowest expected cost for a read. The cost is the sum of the
/// queue wait, the network distance, the wait for a lagging replica and a surcharge on the primary.
/// The target itself checks the guard, so a wrong estimate costs a retry but never returns wrong
/// data.
/// @return Unset when no target can meet the requirement.
[[nodiscard]] std::optional<read_choice>
select_read_target(time_point now, const cluster_view& view, const read_requirement& requirement);

} // namespace lovagemoor::core
