#include <lovagemoor/proxy/routing/primary_view.hpp>

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
    if (is_new && primary_ != target) {
        primary_ = target;
        confirmed_ = false;
    }
}

bool primary_view::on_confirmed(const core::target_id& target, core::term_number term) {
    if (term < term_) {
        return false;
    }
    const bool changed = primary_ != target;
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
        if (except == nullptr || claimant != *except) {
            primary_ = claimant;
        }
    }
}

} // namespace lovagemoor::proxy
