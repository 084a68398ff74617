#pragma once

namespace lovagemoor::ctl {

/// @brief Exit codes of lovagemoorctl, documented in docs/OPERATIONS.md.
enum class exit_code : int {
    ok = 0,
    /// The change was refused as invalid or conflicts with another one.
    refused = 1,
    /// The command line is wrong.
    usage = 2,
    /// No host answered, or the platform is unavailable.
    unreachable = 3,
    /// The change may or may not have taken effect.
    unknown = 4,
};

} // namespace lovagemoor::ctl
