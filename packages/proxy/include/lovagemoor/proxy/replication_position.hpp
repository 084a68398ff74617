#pragma once

#include <lovagemoor/core/ids.hpp>

#include <compare>
#include <string>

namespace lovagemoor::proxy {

/// @brief A position in the replication log of a service, ordered by term, then by index.
struct replication_position {
    core::term_number term = 0;
    core::log_position index = 0;

    friend bool operator==(const replication_position&, const replication_position&) = default;

    friend constexpr std::strong_ordering operator<=>(const replication_position& left,
                                                      const replication_position& right) noexcept {
        return left.term == right.term ? left.index <=> right.index : left.term <=> right.term;
    }
};

/// @return Term and index, separated by a dot, as logs show them.
[[nodiscard]] inline std::string to_string(const replication_position& position) {
    return std::to_string(position.term) + '.' + std::to_string(position.index);
}

} // namespace lovagemoor::proxy
