#pragma once

#include <lovagemoor/core/ids.hpp>

#include <compare>

namespace lovagemoor::proxy {

/// @brief A place in a service's log. A point of a later term is later, whatever its position.
struct log_point {
    core::term_number term = 0;
    core::log_position position = 0;

    friend bool operator==(const log_point&, const log_point&) = default;

    friend constexpr std::strong_ordering operator<=>(const log_point& left,
                                                      const log_point& right) noexcept {
        return left.term == right.term ? left.position <=> right.position
                                       : left.term <=> right.term;
    }
};

} // namespace lovagemoor::proxy
