#pragma once

#include <lovagemoor/core/ids.hpp>

#include <optional>
#include <set>

namespace lovagemoor::proxy {

/// @brief Which target of a service leads, as far as this host knows.
///
/// The registry's claims are hints; only a target's own answers confirm or refute them.
class primary_view {
public:
    /// @brief The registry says that a target considers itself the primary, or no longer does.
    void on_claim(const core::target_id& target, bool claims);

    /// @brief A target proved that it leads.
    /// @return True if this changes the primary.
    bool on_confirmed(const core::target_id& target, core::term_number term);

    /// @brief A target refused as it does not lead.
    /// @return True if it was taken for the primary.
    bool on_refuted(const core::target_id& target);

    /// @brief A target is gone.
    void on_removed(const core::target_id& target);

    /// @return Nothing if no target is known to lead.
    [[nodiscard]] const std::optional<core::target_id>& primary() const noexcept {
        return primary_;
    }

    /// @return True if the primary proved itself since it was chosen.
    [[nodiscard]] bool confirmed() const noexcept { return confirmed_; }

    /// @return Highest term in which a target proved to lead.
    [[nodiscard]] core::term_number term() const noexcept { return term_; }

private:
    void choose_claimant(const core::target_id* except);

    std::optional<core::target_id> primary_;
    bool confirmed_ = false;
    core::term_number term_ = 0;
    std::set<core::target_id> claimants_;
};

} // namespace lovagemoor::proxy
