#pragma once

#include <string>

namespace lovagemoor::ctl {

/// @return The help text for all verbs.
[[nodiscard]] std::string help_text();

/// @return The help text for one verb; empty for an unknown verb.
[[nodiscard]] std::string help_text(const std::string& verb);

} // namespace lovagemoor::ctl
