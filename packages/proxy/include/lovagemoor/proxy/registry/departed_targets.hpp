#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/target_record.hpp>

#include <chrono>
#include <map>

namespace lovagemoor::proxy {

/// @brief Remembers targets that have left, so that an older copy of the registry does not bring
/// them back as if they had never left.
class departed_targets {
public:
    /// Time for which a target is remembered. Covers the age of a copy (up to 10 s) and an outage
    /// of the registry of several minutes.
    static constexpr core::duration retention = std::chrono::minutes{10};

    struct departed_target {
        target_record record;
        /// Time at which the target was first known to drain, if it did.
        core::time_point draining_since;
        core::time_point left_at;
    };

    void remember(const departed_target& target);

    /// @return nullptr if the target is not remembered.
    [[nodiscard]] const departed_target* find(const core::target_id& target) const;

    /// @brief The target is listed again.
    void erase(const core::target_id& target);

    /// @brief Forgets the targets whose retention has passed.
    void expire(core::time_point now);

private:
    std::map<core::target_id, departed_target> targets_;
};

} // namespace lovagemoor::proxy
