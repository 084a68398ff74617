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
    checked_at_ = now;
    return watch_items{prefix_, revision_,
                       connected() ? settings_.watch_wait : settings_.watch_wait_after_failure};
}

registry_follower registry_follower::restarted(core::time_point now) const {
    registry_follower next = *this;
    next.under_way_ = false;
    next.checking_ = false;
    next.on_failure(now);
    return next;
}

registry_follower registry_follower::resumed() const {
    registry_follower next = *this;
    next.under_way_ = false;
    next.checking_ = false;
    return next;
}

registry_follower registry_follower::restored(core::time_point now, core::duration delay) const {
    registry_follower next{prefix_, settings_};
    next.failures_ = failures_;
    next.retry_at_ = now + delay;
    return next;
}

std::optional<list_items> registry_follower::next_check(core::time_point now) {
    const bool watching = under_way_ && !listing_;
    if (settings_.check_interval.count() == 0 || !watching || !connected() || checking_ ||
        now - checked_at_ < settings_.check_interval) {
        return std::nullopt;
    }
    checking_ = true;
    if (check_after_key_.empty()) {
        checked_keys_.clear();
    }
    return list_items{prefix_, check_after_key_, true};
}

registry_follower::check_result registry_follower::on_check(core::time_point now,
                                                            const item_page& page) {
    checking_ = false;
    if (page.status != registry_status::done) {
        check_after_key_.clear();
        return check_result::failed;
    }
    const bool watching = under_way_ && !listing_;
    if (!watching || page.revision < revision_) {
        // The list is older than what the watches have returned.
        check_after_key_.clear();
        checked_at_ = now;
        return check_result::passed;
    }
    bool complete = true;
    for (const registry_item& item : page.items) {
        complete = complete && item.revision <= revision_;
        checked_keys_.insert(item.key);
    }
    if (complete && page.more && !page.items.empty()) {
        check_after_key_ = page.items.back().key;
        return check_result::passed;
    }
    check_after_key_.clear();
    checked_at_ = now;
    return complete && checked_keys_ == keys_ ? check_result::passed : check_result::watch_lost;
}

void registry_follower::track_keys(const std::vector<item_change>& changes) {
    for (const item_change& change : changes) {
        if (change.removed) {
            keys_.erase(change.item.key);
        } else {
            keys_.insert(change.item.key);
        }
    }
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
    keys_.clear();
    track_keys(listed_);
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
    track_keys(changes.changes);
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
