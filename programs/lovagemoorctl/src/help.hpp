#pragma once

#include <string>

namespace lovagemoor::ctl {

/// @return The explanation of all verbs.
[[nodiscard]] std::string help_text();

/// @return The explanation of one verb, empty when there is no such verb.
[[nodiscard]] std::string help_text(const std::string& verb);

} // namespace lovagemoor::ctl
