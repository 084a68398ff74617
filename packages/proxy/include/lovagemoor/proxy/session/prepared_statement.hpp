#pragma once

#include <string>
#include <tuple>

namespace lovagemoor::proxy {

/// @brief A statement prepared by a caller. Targets know it under a name that this host generates.
struct prepared_statement {
    bool read_only = false;
    std::string shape;

    friend bool operator<(const prepared_statement& left, const prepared_statement& right) {
        return std::tie(left.read_only, left.shape) < std::tie(right.read_only, right.shape);
    }
};

} // namespace lovagemoor::proxy
