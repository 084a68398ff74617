#pragma once

#include <compare>
#include <string>

namespace lovagemoor::proxy {

/// @brief A statement prepared by a caller. Targets know it under a name that this host generates.
struct prepared_statement {
    bool read_only = false;
    std::string shape;

    friend std::strong_ordering operator<=>(const prepared_statement&,
                                            const prepared_statement&) = default;
};

} // namespace lovagemoor::proxy
