#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/replication_position.hpp>

#include <deque>
#include <optional>

namespace lovagemoor::proxy {

/// @brief Proofs that a target was a service's primary, with its log position at the time.
///
/// A check that was sent at time c and answered with point p proves that every commit acknowledged
/// before c is at or before p. Times must come from a clock that also counts while the machine is
/// suspended.
class primary_checks {
public:
    /// Checks closer together than this are kept as one.
    static constexpr core::duration min_spacing = std::chrono::milliseconds{20};
    /// Longest staleness for which a bound can be found.
    static constexpr core::duration max_age = std::chrono::seconds{10};

    /// @param sent When the check was sent, not when it was answered.
    void record(core::time_point sent, replication_position position);

    /// @brief The least demanding point that contains every commit acknowledged before a time.
    /// @return Nothing if no check was sent at or after that time.
    [[nodiscard]] std::optional<replication_position>
    bound(core::time_point acknowledged_before) const;

    /// @return When the newest check was sent.
    [[nodiscard]] std::optional<core::time_point> newest() const;

private:
    struct check {
        core::time_point sent;
        replication_position position;
    };

    /// In the order of their time.
    std::deque<check> checks_;
};

} // namespace lovagemoor::proxy
