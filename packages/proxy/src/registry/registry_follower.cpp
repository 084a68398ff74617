#include <lovagemoor/proxy/registry/registry_follower.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

registry_follower::registry_follower(std::string prefix, follower_settings settings)
    : prefix_{std::move(prefix)}, settings_{settings} {}

std::optional<registry_follower::call> registry_follower::next_call(core::time_point now) {
    if (under_way_ || now < retry_at_) {
        return std::nullopt;
    }
    under_way_ = true;
    if (listing_) {
        return list_items{prefix_, after_key_, polls()};
    }
    return watch_items{prefix_, revision_,
                       connected() ? settings_.watch_wait : settings_.watch_wait_after_failure};
}

registry_follower registry_follower::restarted(core::time_point now) const {
    registry_follower next = *this;
    next.under_way_ = false;
    next.on_failure(now);
    return next;
}

registry_follower::update registry_follower::on_page(core::time_point now, const item_page& page) {
    under_way_ = false;
    if (page.status != registry_status::done) {
        on_failure(now);
        return {};
    }
    failures_ = 0;
    if (after_key_.empty()) {
        // The pages are not a consistent snapshot, so changes since the first page are watched.
        revision_ = page.revision;
        listed_.clear();
    }
    for (const registry_item& item : page.items) {
        listed_.push_back(item_change{item, false});
    }
    if (page.more && !page.items.empty()) {
        after_key_ = page.items.back().key;
        return {};
    }
    after_key_.clear();
    listing_ = polls();
    retry_at_ = polls() ? now + settings_.poll_interval : now;
    return update{true, std::exchange(listed_, {})};
}

registry_follower::update registry_follower::on_changes(core::time_point now,
                                                        const item_changes& changes) {
    under_way_ = false;
    if (changes.status == registry_status::history_lost) {
        listing_ = true;
        after_key_.clear();
        return {};
    }
    if (changes.status != registry_status::done) {
        on_failure(now);
        return {};
    }
    failures_ = 0;
    revision_ = std::max(revision_, changes.revision);
    if (!changes.changes.empty()) {
        pause_watching(now);
    }
    return update{false, changes.changes};
}

void registry_follower::pause_watching(core::time_point now) {
    const bool in_succession = now - paused_until_ < settings_.watch_pause_max;
    pause_ = in_succession ? std::min<core::duration>(2 * pause_, settings_.watch_pause_max)
                           : settings_.watch_pause;
    paused_until_ = now + pause_;
    retry_at_ = paused_until_;
}

void registry_follower::on_failure(core::time_point now) {
    const unsigned doublings = std::min(failures_, 4U);
    ++failures_;
    retry_at_ = now + std::min<core::duration>(settings_.retry_pause * (1U << doublings),
                                               settings_.retry_pause_max);
}

} // namespace lovagemoor::proxy
