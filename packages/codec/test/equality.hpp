#pragma once

#include <lovagemoor/core/peer_message.hpp>

#include <tuple>
#include <type_traits>
#include <variant>

/// @file
/// @brief Comparison of peer messages. The structured bindings fail to compile when a field is
/// added to a message, so the round trip tests cannot omit a field.

namespace lovagemoor::codec::testing {

inline auto fields(const core::forward_request& value) {
    const auto& [a, b, c, d, e, f, g, h, i, j, k, l, m] = value;
    return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, m);
}

inline auto fields(const core::forward_rows& value) {
    const auto& [a, b, c] = value;
    return std::tie(a, b, c);
}

inline auto fields(const core::forward_outcome& value) {
    const auto& [a, b, c, d, e, f, g] = value;
    return std::tie(a, b, c, d, e, f, g);
}

inline auto fields(const core::forward_cancel& value) {
    const auto& [a] = value;
    return std::tie(a);
}

inline auto fields(const core::gossip_header& value) {
    const auto& [a, b, c] = value;
    return std::tie(a, b, c);
}

inline auto fields(const core::membership_ping& value) {
    const auto& [a, b] = value;
    return std::tuple_cat(std::tie(a), fields(b));
}

inline auto fields(const core::membership_ack& value) {
    const auto& [a, b, c] = value;
    return std::tuple_cat(std::tie(a, b), fields(c));
}

inline auto fields(const core::membership_ping_request& value) {
    const auto& [a, b, c] = value;
    return std::tuple_cat(std::tie(a, b), fields(c));
}

inline auto fields(const core::membership_sync& value) {
    const auto& [a, b] = value;
    return std::tuple_cat(std::tie(a), fields(b));
}

inline auto fields(const core::view_push& value) {
    const auto& [a, b] = value;
    return std::tie(a, b);
}

inline auto fields(const core::view_request& value) {
    const auto& [a] = value;
    return std::tie(a);
}

inline auto fields(const core::view_reply& value) {
    const auto& [a] = value;
    return std::tie(a);
}

inline auto fields(const core::primary_report& value) {
    const auto& [a, b, c, d, e] = value;
    return std::tie(a, b, c, d, e);
}

inline bool equal(const core::peer_message& left, const core::peer_message& right) {
    return std::visit(
        [](const auto& first, const auto& second) {
            if constexpr (std::is_same_v<decltype(first), decltype(second)>) {
                return fields(first) == fields(second);
            } else {
                return false;
            }
        },
        left, right);
}

} // namespace lovagemoor::codec::testing
