#pragma once

#include <lovagemoor/proxy/registry/registry_call.hpp>

#include <compare>
#include <cstdint>
#include <optional>

namespace lovagemoor::proxy {

/// @brief Fencing token of a holder of the promotion lock: the revision of the lock's item and the
/// era of the registry in which it was written. Revisions repeat once the registry has come back
/// from an older copy; tokens do not.
class promotion_token {
public:
    /// Revisions of one era. At 1,000 changes per second they last for 34 years.
    static constexpr registry_revision revisions_per_era = registry_revision{1} << 40U;
    /// Era of a registry that names none. Its tokens are plain revisions, as those of builds that
    /// know no eras. The platform does not say with which number its eras begin.
    static constexpr registry_era first_era = 0;
    /// Keeps value() below 2^63, the limit of a signed number of 64 bits.
    static constexpr registry_era last_era = (registry_era{1} << 23U) - 1;

    /// @brief Lower than the token of any lock.
    constexpr promotion_token() = default;

    /// @brief Token of a lock in a registry that names no eras.
    explicit constexpr promotion_token(registry_revision lock_revision) noexcept
        : lock_revision_{lock_revision} {}

    /// @return The number of the era that tokens count, which is the first one if none is named.
    [[nodiscard]] static constexpr registry_era
    counted_era(const std::optional<registry_era>& era) noexcept {
        return era.value_or(first_era);
    }

    /// @return Empty if the token would not be greater than all those of earlier eras, or not less
    /// than all those of later ones.
    [[nodiscard]] static constexpr std::optional<promotion_token>
    make(const std::optional<registry_era>& era, registry_revision lock_revision) noexcept {
        promotion_token token{lock_revision};
        if (era.has_value()) {
            if (lock_revision >= revisions_per_era || *era > last_era) {
                return std::nullopt;
            }
            token.earlier_eras_ = counted_era(era) - first_era;
        }
        return token;
    }

    /// @return The number that promotion calls carry.
    [[nodiscard]] constexpr std::uint64_t value() const noexcept {
        return earlier_eras_ * revisions_per_era + lock_revision_;
    }

    [[nodiscard]] constexpr registry_era era() const noexcept { return earlier_eras_ + first_era; }

    /// @return Revision of the lock's item, the condition of writes that require the lock.
    [[nodiscard]] constexpr registry_revision lock_revision() const noexcept {
        return lock_revision_;
    }

    friend constexpr bool operator==(const promotion_token&, const promotion_token&) = default;

    friend constexpr std::strong_ordering operator<=>(const promotion_token& left,
                                                      const promotion_token& right) noexcept {
        return left.earlier_eras_ == right.earlier_eras_
                   ? left.lock_revision_ <=> right.lock_revision_
                   : left.earlier_eras_ <=> right.earlier_eras_;
    }

private:
    registry_era earlier_eras_ = 0;
    registry_revision lock_revision_ = 0;
};

} // namespace lovagemoor::proxy
