#pragma once

#include <lovagemoor/core/ids.hpp>

namespace lovagemoor::core {

/// @brief A customer of the operators, whose callers are known by its keys.
using organisation_id = basic_id<struct organisation_tag>;

} // namespace lovagemoor::core
