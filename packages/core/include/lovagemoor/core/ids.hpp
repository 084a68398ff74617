#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace lovagemoor::core {

/// @brief Textual identifier. The tag makes each kind of identifier a type of its own, so that the
/// compiler rejects mix-ups.
template <typename Tag>
struct basic_id {
    std::string value;

    friend bool operator==(const basic_id&, const basic_id&) = default;

    friend std::strong_ordering operator<=>(const basic_id& left, const basic_id& right) noexcept {
        return left.value.compare(right.value) <=> 0;
    }

    [[nodiscard]] bool empty() const noexcept { return value.empty(); }
};

using host_id = basic_id<struct host_tag>;
using domain_id = basic_id<struct domain_tag>;
using target_id = basic_id<struct target_tag>;
using group_id = basic_id<struct group_tag>;
using service_id = basic_id<struct service_tag>;

/// @brief Term of a database group's primary; grows with each promotion.
using term_number = std::uint64_t;

/// @brief Position in a database group's log. Two positions are comparable only if they belong to
/// the history of one term.
using log_position = std::uint64_t;

/// @brief Identifies a request on the host that received it from its caller.
using request_id = std::uint64_t;

/// @brief Identifies one connection to a target within a host's process.
using connection_id = std::uint64_t;

/// @brief Identifies one job on a connection.
using job_id = std::uint64_t;

/// @brief Identifies a transaction within its owner host's incarnation.
using transaction_id = std::uint64_t;

/// @brief Identifies an outstanding call to a target's control functions or to the platform.
using call_id = std::uint64_t;

/// @brief Number that a host increments to refute a false report of its failure.
using incarnation_number = std::uint64_t;

} // namespace lovagemoor::core

template <typename Tag>
struct std::hash<lovagemoor::core::basic_id<Tag>> {
    [[nodiscard]] std::size_t operator()(const lovagemoor::core::basic_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value);
    }
};
