#pragma once

#include <lovagemoor/core/ids.hpp>

#include <compare>

namespace lovagemoor::proxy {

/// @brief A place in a service's log. A point of a later term is later, whatever its position.
struct log_point {
    core::term_number term = 0;
    core::log_position position = 0;

    friend bool operator==(const log_point&, const log_point&) = default;
    friend auto operator<=>(const log_point&, const log_point&) = default;
};

} // namespace lovagemoor::proxy
