#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/replication_position.hpp>

#include <deque>
#include <optional>

namespace lovagemoor::proxy {

/// @brief Leadership checks that a service's primary passed, with its log position at the time.
///
/// A check that was sent at time t and answered with position p proves that every commit
/// acknowledged before t is at or before p. Times must come from a clock that keeps counting while
/// the machine is suspended.
class primary_checks {
public:
    /// Checks that were sent closer together than this are merged.
    static constexpr core::duration min_spacing = std::chrono::milliseconds{20};
    /// Maximum staleness for which bound() can return a position.
    static constexpr core::duration max_age = std::chrono::seconds{10};

    /// @param sent Time at which the check was sent, not when it was answered.
    void record(core::time_point sent, replication_position position);

    struct check {
        core::time_point sent;
        replication_position position;
    };

    /// @brief Finds the check that bound() uses.
    [[nodiscard]] std::optional<check> find(core::time_point acknowledged_before) const;

    /// @brief Finds the earliest known position that includes every commit acknowledged before a
    /// given time.
    /// @return Empty if no check was sent at or after that time.
    [[nodiscard]] std::optional<replication_position>
    bound(core::time_point acknowledged_before) const;

    /// @return Time at which the newest check was sent.
    [[nodiscard]] std::optional<core::time_point> newest() const;

    [[nodiscard]] std::optional<check> newest_check() const;

private:
    /// Sorted by time.
    std::deque<check> checks_;
};

} // namespace lovagemoor::proxy
