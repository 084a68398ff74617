#include <lovagemoor/proxy/routing/primary_view.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

void primary_view::on_claim(const core::target_id& target, bool claims) {
    if (!claims) {
        claimants_.erase(target);
        if (primary_ == target && !confirmed_) {
            choose_claimant(&target);
        }
        return;
    }
    const bool is_new = claimants_.insert(target).second;
    if (is_new && primary_ != target && !demoted_.contains(target)) {
        primary_ = target;
        confirmed_ = false;
    }
}

bool primary_view::on_confirmed(const core::target_id& target, core::term_number term) {
    if (superseded(target, term)) {
        return false;
    }
    const bool changed = primary_ != target;
    if (changed && primary_.has_value() && term == term_) {
        return false;
    }
    demoted_.erase(target);
    term_ = term;
    primary_ = target;
    confirmed_ = true;
    return changed;
}

bool primary_view::on_refuted(const core::target_id& target) {
    if (primary_ != target) {
        return false;
    }
    claimants_.erase(target);
    choose_claimant(&target);
    return true;
}

bool primary_view::on_demoted(const core::target_id& target, core::term_number term) {
    core::term_number& lowest = demoted_[target];
    lowest = std::max(lowest, term);
    return on_refuted(target);
}

void primary_view::on_leading(const core::target_id& target, core::term_number current_term) {
    const auto found = demoted_.find(target);
    if (found != demoted_.end() && current_term >= found->second) {
        demoted_.erase(found);
    }
}

std::optional<core::term_number> primary_view::demotion_term(const core::target_id& target) const {
    const auto found = demoted_.find(target);
    return found == demoted_.end() ? std::nullopt : std::optional<core::term_number>{found->second};
}

bool primary_view::superseded(const core::target_id& target, core::term_number term) const {
    const auto found = demoted_.find(target);
    return term < term_ || (found != demoted_.end() && term < found->second);
}

void primary_view::on_removed(const core::target_id& target) {
    claimants_.erase(target);
    if (primary_ == target) {
        choose_claimant(&target);
    }
}

void primary_view::choose_claimant(const core::target_id* except) {
    primary_.reset();
    confirmed_ = false;
    for (const core::target_id& claimant : claimants_) {
        if ((except == nullptr || claimant != *except) && !demoted_.contains(claimant)) {
            primary_ = claimant;
        }
    }
}

} // namespace lovagemoor::proxy
