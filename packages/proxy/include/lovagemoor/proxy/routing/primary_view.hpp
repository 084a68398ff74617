#pragma once

#include <lovagemoor/core/ids.hpp>

#include <map>
#include <optional>
#include <set>

namespace lovagemoor::proxy {

/// @brief Tracks which target is the primary of a service, as far as this host knows.
///
/// The registry's information is a hint. Only a target's own answers confirm or refute it.
class primary_view {
public:
    /// @brief The registry reports whether a target considers itself the primary.
    void on_claim(const core::target_id& target, bool claims);

    /// @brief A target proved that it considers itself the primary. It may be a former one, so
    /// another target is only replaced by one of a higher term.
    /// @return True if this changes the primary.
    bool on_confirmed(const core::target_id& target, core::term_number term);

    /// @brief A target refused a command because it is not the primary.
    /// @return True if the target was considered the primary.
    bool on_refuted(const core::target_id& target);

    /// @brief A target must not lead in terms below the given one, even if it claims to.
    /// @return True if the target was considered the primary.
    bool on_demoted(const core::target_id& target, core::term_number term);

    /// @brief A target leads in the given term, so an earlier demotion no longer concerns it.
    void on_leading(const core::target_id& target, core::term_number current_term);

    /// @return True if the target was demoted and not promoted since, as far as this host knows.
    [[nodiscard]] bool demoted(const core::target_id& target) const {
        return demoted_.contains(target);
    }

    /// @return The lowest term in which the target may lead again after its demotion. Empty if it
    /// is not demoted.
    [[nodiscard]] std::optional<core::term_number>
    demotion_term(const core::target_id& target) const;

    /// @return True if an answer that a target gave as the primary of a term must not be used:
    /// another target has led since, or the target was demoted.
    [[nodiscard]] bool superseded(const core::target_id& target, core::term_number term) const;

    /// @brief A target was removed. Its demotion still holds if it is listed again: only a later
    /// term ends it.
    void on_removed(const core::target_id& target);

    /// @return Empty if no target is known to be the primary.
    [[nodiscard]] const std::optional<core::target_id>& primary() const noexcept {
        return primary_;
    }

    /// @return True if the primary has confirmed its role since it was chosen.
    [[nodiscard]] bool confirmed() const noexcept { return confirmed_; }

    /// @return Highest term in which a target proved to be the primary.
    [[nodiscard]] core::term_number term() const noexcept { return term_; }

private:
    void choose_claimant(const core::target_id* except);

    std::optional<core::target_id> primary_;
    bool confirmed_ = false;
    core::term_number term_ = 0;
    std::set<core::target_id> claimants_;
    /// Lowest term in which a demoted target may lead again.
    std::map<core::target_id, core::term_number> demoted_;
};

} // namespace lovagemoor::proxy
