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
    watching_since_ = now;
    if (now >= disturbed_until_) {
        // The answer of a watch only tells what happened since the revision from which it
        // continued. After a disturbance, an earlier one may have skipped changes.
        checked_at_ = now;
        check_pause_ = settings_.check_interval;
    }
    return watch_items{prefix_, revision_,
                       connected() ? settings_.watch_wait : settings_.watch_wait_after_failure};
}

registry_follower registry_follower::restarted(core::time_point now) const {
    registry_follower next = *this;
    next.under_way_ = false;
    next.checking_ = false;
    next.on_failure(now, registry_status::unknown);
    return next;
}

registry_follower registry_follower::resumed() const {
    registry_follower next = *this;
    next.under_way_ = false;
    next.checking_ = false;
    if (std::exchange(next.list_again_, false)) {
        next.listing_ = true;
        next.after_key_.clear();
    }
    return next;
}

registry_follower registry_follower::resumed_after(const item_change& read) const {
    registry_follower next = resumed();
    next.revision_ = std::max(next.revision_, read.item.revision);
    next.track({read});
    return next;
}

registry_follower registry_follower::restored(core::time_point now, core::duration delay) const {
    registry_follower next{prefix_, settings_};
    next.failures_ = failures_;
    next.retry_at_ = now + delay;
    next.on_disturbance(now);
    return next;
}

bool registry_follower::lost_history_early(core::time_point now) const {
    return now - watching_since_ < settings_.history_loss_age;
}

void registry_follower::on_disturbance(core::time_point now) {
    disturbed_until_ = now + settings_.disturbance_duration;
}

std::optional<list_items>
registry_follower::next_check(core::time_point now,
                              const std::optional<registry_revision>& recent) {
    const bool due = exact_check_due_ || now - checked_at_ >= check_pause_;
    if (settings_.check_interval.count() == 0 || !is_watching() || !connected() || checking_ ||
        !due) {
        return std::nullopt;
    }
    checking_ = true;
    check_outdated_ = false;
    if (check_after_key_.empty()) {
        const bool disturbed = now < disturbed_until_;
        checked_keys_.clear();
        check_is_exact_ = disturbed && (exact_check_due_ || !recent.has_value());
        check_floor_ = disturbed ? recent.value_or(0) : 0;
        check_is_recent_ = true;
        exact_check_due_ = false;
    }
    return list_items{prefix_, check_after_key_, !check_is_exact_};
}

registry_follower::check_result registry_follower::on_check(core::time_point now,
                                                            const item_page& page) {
    checking_ = false;
    if (page.status != registry_status::done) {
        check_after_key_.clear();
        on_disturbance(now);
        return check_result::failed;
    }
    if (!is_watching() || check_outdated_) {
        check_after_key_.clear();
        checked_at_ = now;
        return check_result::passed;
    }
    check_is_recent_ = check_is_recent_ && page.revision >= check_floor_;
    if (page.revision < applied_) {
        // The list is older than the known changes. It proves nothing.
        check_is_recent_ = check_is_recent_ && now >= disturbed_until_;
        on_match(now);
        return check_result::passed;
    }
    bool watch_returns_it = false;
    for (const registry_item& item : page.items) {
        checked_keys_.insert(item.key);
        const auto known = known_.find(item.key);
        if (known != known_.end() && known->second == item.revision) {
            continue;
        }
        if (item.revision <= revision_) {
            return on_mismatch(now, true);
        }
        watch_returns_it = true;
    }
    if (watch_returns_it) {
        if (now - watching_since_ < settings_.check_interval_disturbed) {
            // The watch may be about to return it.
            check_after_key_.clear();
            checked_at_ = now;
            check_pause_ = settings_.check_interval_disturbed;
            return check_result::passed;
        }
        return on_mismatch(now, false);
    }
    if (page.more && !page.items.empty()) {
        check_after_key_ = page.items.back().key;
        return check_result::passed;
    }
    if (checked_keys_.size() != known_.size()) {
        // The removal is returned by a new watch if it came after the revision of the last one.
        const bool missed_again = std::exchange(removal_missed_, true);
        return on_mismatch(now, check_is_exact_ || missed_again || page.revision <= revision_);
    }
    removal_missed_ = false;
    on_match(now);
    return check_result::passed;
}

registry_follower::check_result registry_follower::on_mismatch(core::time_point now,
                                                               bool list_again) {
    check_after_key_.clear();
    list_again_ = list_again;
    if (list_again) {
        on_disturbance(now);
    }
    return check_result::watch_lost;
}

void registry_follower::on_match(core::time_point now) {
    check_after_key_.clear();
    if (!check_is_exact_ && !check_is_recent_) {
        exact_check_due_ = true;
        return;
    }
    checked_at_ = now;
    const bool sooner = !check_is_exact_ && now < disturbed_until_;
    check_pause_ = sooner ? std::min(settings_.check_interval, settings_.check_interval_disturbed)
                          : settings_.check_interval;
}

void registry_follower::track(const std::vector<item_change>& changes) {
    for (const item_change& change : changes) {
        applied_ = std::max(applied_, change.item.revision);
        if (change.removed) {
            known_.erase(change.item.key);
        } else {
            known_[change.item.key] = change.item.revision;
        }
    }
}

registry_follower::update registry_follower::on_page(core::time_point now, const item_page& page) {
    under_way_ = false;
    if (page.status != registry_status::done) {
        on_failure(now, page.status);
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
    known_.clear();
    applied_ = revision_;
    track(listed_);
    checked_at_ = now;
    check_pause_ = settings_.check_interval;
    return update{true, std::exchange(listed_, {})};
}

registry_follower::update registry_follower::on_changes(core::time_point now,
                                                        const item_changes& changes) {
    under_way_ = false;
    if (changes.status == registry_status::history_lost) {
        listing_ = true;
        after_key_.clear();
        if (lost_history_early(now)) {
            on_disturbance(now);
        }
        // A registry that drops its history continually must not be called without a pause.
        const bool in_succession =
            history_lost_at_.has_value() && now - *history_lost_at_ < settings_.retry_pause_max;
        retry_at_ = in_succession ? now + settings_.retry_pause : now;
        history_lost_at_ = now;
        return {};
    }
    if (changes.status != registry_status::done) {
        on_failure(now, changes.status);
        return {};
    }
    failures_ = 0;
    revision_ = std::max(revision_, changes.revision);
    update result;
    for (const item_change& change : changes.changes) {
        // The watch begins at the first page of a list, so it repeats changes that later pages
        // show.
        const auto known = known_.find(change.item.key);
        if (known == known_.end() || known->second <= change.item.revision) {
            result.changes.push_back(change);
        }
    }
    track(result.changes);
    if (!changes.changes.empty()) {
        check_outdated_ = true;
        check_after_key_.clear();
        pause_watching(now);
    }
    return result;
}

void registry_follower::pause_watching(core::time_point now) {
    const bool in_succession = now - paused_until_ < settings_.watch_pause_max;
    pause_ = in_succession ? std::min<core::duration>(2 * pause_, settings_.watch_pause_max)
                           : settings_.watch_pause;
    paused_until_ = now + pause_;
    retry_at_ = paused_until_;
}

void registry_follower::on_failure(core::time_point now, registry_status status) {
    const unsigned doublings = std::min(failures_, 4U);
    ++failures_;
    if (status != registry_status::rejected) {
        // A call that was not executed has lost no answer.
        on_disturbance(now);
    }
    retry_at_ = now + std::min<core::duration>(settings_.retry_pause * (1U << doublings),
                                               settings_.retry_pause_max);
}

} // namespace lovagemoor::proxy
