#include <lovagemoor/proxy/promotion/promotion_lock_claim.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// @return Key that is written with the lock in the era.
std::string claims_key(registry_era era) {
    return std::string{promotion_claims_prefix} + std::to_string(era);
}

} // namespace

} // namespace internal

std::vector<expected_revision> lock_conditions(const promotion_token& token) {
    return {{std::string{promotion_lock_key}, token.lock_revision()},
            {internal::claims_key(token.era()), token.lock_revision()}};
}

bool promotion_lock_claim::on_era(core::time_point now, const std::optional<registry_era>& era) {
    if (era == era_) {
        return false;
    }
    era_ = era;
    era_known_since_ = now;
    // The registry may grant the same lease again, to another host.
    lease_ = 0;
    seen_lock_.reset();
    return std::exchange(sent_at_, std::nullopt).has_value();
}

std::chrono::milliseconds
promotion_lock_claim::time_until_claim(core::time_point now,
                                       std::chrono::milliseconds duration) const {
    if (!era_.has_value() || *era_ <= promotion_token::first_era) {
        return std::chrono::milliseconds{0};
    }
    const core::duration left = era_known_since_ + duration - now;
    return std::max(std::chrono::milliseconds{0},
                    std::chrono::ceil<std::chrono::milliseconds>(left));
}

promotion_lock_claim::claim_number promotion_lock_claim::start(core::time_point now,
                                                               std::chrono::milliseconds duration) {
    sent_at_ = now;
    duration_ = duration;
    lease_ = 0;
    return ++newest_claim_;
}

void promotion_lock_claim::on_granted(lease_id lease) {
    lease_ = lease;
}

void promotion_lock_claim::on_lock_seen(core::time_point now, registry_revision revision) {
    if (!seen_lock_.has_value() || seen_lock_->revision != revision) {
        seen_lock_ = {revision, now};
    }
}

write_items promotion_lock_claim::claim_of(core::time_point now, const core::host_id& host) const {
    const bool overdue = seen_lock_.has_value() && now - seen_lock_->at >= duration_;
    const std::string claims_key = internal::claims_key(promotion_token::counted_era(era_));
    return {
        {{std::string{promotion_lock_key}, overdue ? seen_lock_->revision : 0}},
        {{std::string{promotion_lock_key}, host.value, lease_}, {claims_key, host.value, lease_}},
        {}};
}

promotion_lock_owner promotion_lock_claim::owner_of(const registry_item& item,
                                                    const core::host_id& host) const {
    if (item.value != host.value || lease_ == 0 || item.lease != lease_) {
        return promotion_lock_owner::other;
    }
    return pending() ? promotion_lock_owner::pending_claim : promotion_lock_owner::known_claim;
}

std::chrono::milliseconds promotion_lock_claim::finish(core::time_point now) {
    const core::duration left = *sent_at_ + duration_ - now;
    sent_at_.reset();
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

} // namespace lovagemoor::proxy
