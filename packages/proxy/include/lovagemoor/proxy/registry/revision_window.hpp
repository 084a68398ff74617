#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <chrono>
#include <deque>
#include <optional>

namespace lovagemoor::proxy {

/// @brief Remembers which revisions the registry had lately, from answers that may not be stale.
///
/// A list that may be stale shows at least the state of a moment in the window if its revision is
/// at least oldest().
class revision_window {
public:
    /// Maximum age of a state that counts as up to date. With the interval of checks it is below
    /// the tightest bound of the reference deployments (3 s for a configuration).
    static constexpr std::chrono::milliseconds span{1000};

    /// @param at A time at which the registry had the revision or a later one already.
    void note(core::time_point at, registry_revision revision);

    /// @return The lowest noted revision of the window. Empty if none was noted.
    [[nodiscard]] std::optional<registry_revision> oldest(core::time_point now);

private:
    struct entry {
        core::time_point at;
        registry_revision revision = 0;
    };

    std::deque<entry> entries_;
};

} // namespace lovagemoor::proxy
