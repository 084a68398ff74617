#include <lovagemoor/proxy/relay/registry_cache.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

std::size_t size_of(const registry_item& item) {
    return item.key.size() + item.value.size();
}

bool is_older(const item_change& left, const item_change& right) {
    return left.item.revision < right.item.revision;
}

} // namespace

} // namespace internal

registry_cache::registry_cache(registry_cache_settings settings) : settings_{settings} {}

void registry_cache::on_page(core::time_point now, core::time_point sent, const list_items& call,
                             const item_page& page) {
    if (page.status != registry_status::done) {
        return;
    }
    if (call.after_key.empty()) {
        listing_ = listing{sent, page.revision, {}, {}};
    } else if (!listing_.has_value() || listing_->last_key != call.after_key ||
               page.revision < listing_->revision) {
        // The page belongs to another listing.
        return;
    }
    for (const registry_item& item : page.items) {
        listing_->items[item.key] = item;
    }
    if (page.more && !page.items.empty()) {
        listing_->last_key = page.items.back().key;
        return;
    }
    apply(now, call, *std::exchange(listing_, std::nullopt));
}

void registry_cache::apply(core::time_point now, const list_items& call, listing complete) {
    if (call.may_be_stale) {
        if (!known_ || polled_) {
            known_ = true;
            polled_ = true;
            items_ = std::move(complete.items);
            revision_ = complete.revision;
            proved_as_of_ = complete.sent;
        }
        return;
    }
    const core::time_point sent = complete.sent;
    // A registry that names no era may have come back from an older copy.
    const bool went_back = complete.revision < revision_ && sent >= revised_at_;
    if (!known_ || polled_ || went_back) {
        start_afresh(std::move(complete));
    } else if (complete.revision >= revision_) {
        apply_difference(std::move(complete));
    } else {
        return;
    }
    revised_at_ = now;
    prove(sent);
}

void registry_cache::start_afresh(listing complete) {
    known_ = true;
    polled_ = false;
    items_ = std::move(complete.items);
    revision_ = complete.revision;
    history_from_ = complete.revision;
    history_.clear();
    history_bytes_ = 0;
    proved_as_of_.reset();
    for (auto& [number, watch] : pending_) {
        watch.history_lost = true;
    }
}

bool registry_cache::has_missed(const listing& complete) const {
    const bool missed_change =
        std::any_of(complete.items.begin(), complete.items.end(), [this](const auto& entry) {
            const registry_item& item = entry.second;
            const auto held = items_.find(entry.first);
            return item.revision <= revision_ &&
                   (held == items_.end() || held->second.revision < item.revision);
        });
    const bool missed_removal =
        complete.revision == revision_ &&
        std::any_of(items_.begin(), items_.end(), [&complete](const auto& entry) {
            return entry.second.revision <= complete.revision &&
                   !complete.items.contains(entry.first);
        });
    return missed_change || missed_removal;
}

bool registry_cache::has_missed(const item_changes& changes) const {
    std::map<std::string, const item_change*> last_changes;
    for (const item_change& change : changes.changes) {
        const item_change*& last = last_changes[change.item.key];
        if (change.item.revision <= revision_ &&
            (last == nullptr || last->item.revision <= change.item.revision)) {
            last = &change;
        }
    }
    return std::any_of(last_changes.begin(), last_changes.end(), [this](const auto& entry) {
        const item_change* const last = entry.second;
        if (last == nullptr) {
            return false;
        }
        const auto held = items_.find(entry.first);
        return held == items_.end() ? !last->removed : held->second.revision < last->item.revision;
    });
}

void registry_cache::apply_difference(listing complete) {
    if (has_missed(complete)) {
        // Other hosts may have continued from beyond the missed change.
        start_afresh(std::move(complete));
        return;
    }
    std::vector<item_change> changes;
    for (auto& [key, item] : complete.items) {
        const auto held = items_.find(key);
        if (held != items_.end() && held->second.revision >= item.revision) {
            continue;
        }
        // A later page may show a later change, which the next watch returns.
        if (item.revision <= complete.revision) {
            changes.push_back({item, false});
        }
        items_[key] = item;
    }
    for (auto held = items_.begin(); held != items_.end();) {
        if (!complete.items.contains(held->first) && held->second.revision <= complete.revision) {
            // The revision of the removal is not known. This one is not lower.
            changes.push_back({{held->first, {}, complete.revision, 0}, true});
            held = items_.erase(held);
        } else {
            ++held;
        }
    }
    std::stable_sort(changes.begin(), changes.end(), internal::is_older);
    for (const item_change& change : changes) {
        append(change);
    }
    revision_ = complete.revision;
    trim_history();
}

void registry_cache::on_changes(core::time_point now, core::time_point sent,
                                const watch_items& call, const item_changes& changes) {
    if (changes.status != registry_status::done || !known_ || polled_) {
        return;
    }
    if (call.after > revision_) {
        // The changes up to the revision from which the watch continued are missing.
        reset();
        return;
    }
    if (has_missed(changes)) {
        // Requesters may have continued from beyond the missed change.
        const registry_revision continued = revision_;
        reset();
        history_lost_until_ = continued;
        return;
    }
    std::vector<item_change> news;
    registry_revision reached = std::max(revision_, changes.revision);
    for (const item_change& change : changes.changes) {
        if (change.item.revision > revision_) {
            news.push_back(change);
            reached = std::max(reached, change.item.revision);
        }
    }
    std::stable_sort(news.begin(), news.end(), internal::is_older);
    for (const item_change& change : news) {
        const auto held = items_.find(change.item.key);
        if (held == items_.end() || held->second.revision <= change.item.revision) {
            if (change.removed) {
                items_.erase(change.item.key);
            } else {
                items_[change.item.key] = change.item;
            }
        }
        append(change);
    }
    if (reached > revision_) {
        revision_ = reached;
        revised_at_ = now;
    }
    trim_history();
    if (call.wait.count() == 0) {
        prove(sent);
    }
}

void registry_cache::reset() {
    known_ = false;
    polled_ = false;
    items_.clear();
    revision_ = 0;
    history_from_ = 0;
    history_lost_until_ = 0;
    history_.clear();
    history_bytes_ = 0;
    proved_as_of_.reset();
    listing_.reset();
    for (auto& [number, watch] : pending_) {
        watch.history_lost = true;
    }
}

std::optional<item_page> registry_cache::list(const list_items& call) const {
    if (!known_) {
        return std::nullopt;
    }
    item_page page{registry_status::done, {}, false, revision_, {}};
    std::size_t bytes = 0;
    for (auto item = items_.upper_bound(call.after_key); item != items_.end(); ++item) {
        bytes += internal::size_of(item->second);
        if (!page.items.empty() && bytes > settings_.page_bytes) {
            page.more = true;
            break;
        }
        page.items.push_back(item->second);
    }
    return page;
}

std::optional<std::vector<item_change>>
registry_cache::changes_after(registry_revision after) const {
    if (after < history_from_ || after <= history_lost_until_) {
        return std::nullopt;
    }
    std::vector<item_change> changes;
    for (const item_change& change : history_) {
        if (change.item.revision > after) {
            changes.push_back(change);
        }
    }
    return changes;
}

registry_cache::watch_result registry_cache::watch(core::time_point now, ticket number,
                                                   const watch_items& call, item_changes& answer) {
    if (!known_ || polled_) {
        return watch_result::not_held;
    }
    std::optional<std::vector<item_change>> changes = changes_after(call.after);
    if (!changes.has_value()) {
        answer = item_changes{registry_status::history_lost, {}, 0, {}};
        return watch_result::answered;
    }
    if (changes->empty() && call.wait.count() > 0) {
        pending_[number] = pending_watch{call.after, now + call.wait, false};
        return watch_result::pending;
    }
    answer = item_changes{
        registry_status::done, std::move(*changes), std::max(call.after, revision_), {}};
    return watch_result::answered;
}

void registry_cache::forget(ticket number) {
    pending_.erase(number);
}

std::vector<registry_cache::answered_watch> registry_cache::take_answers(core::time_point now) {
    std::vector<answered_watch> answers;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        const auto& [number, watch] = *entry;
        std::optional<std::vector<item_change>> changes;
        if (!watch.history_lost && known_) {
            changes = changes_after(watch.after);
        }
        if (changes.has_value() && changes->empty() && now < watch.until) {
            ++entry;
            continue;
        }
        answered_watch answered{number, {registry_status::history_lost, {}, 0, {}}};
        if (changes.has_value()) {
            answered.changes = item_changes{
                registry_status::done, std::move(*changes), std::max(watch.after, revision_), {}};
        }
        answers.push_back(std::move(answered));
        entry = pending_.erase(entry);
    }
    return answers;
}

std::vector<registry_cache::ticket> registry_cache::abandon_watches() {
    std::vector<ticket> abandoned;
    for (const auto& [number, watch] : pending_) {
        abandoned.push_back(number);
    }
    pending_.clear();
    return abandoned;
}

void registry_cache::prove(core::time_point as_of) {
    proved_as_of_ = std::max(proved_as_of_.value_or(as_of), as_of);
}

void registry_cache::append(const item_change& change) {
    if (internal::size_of(change.item) >= settings_.superseded_bytes) {
        std::erase_if(history_, [&](const item_change& earlier) {
            const bool superseded = earlier.item.key == change.item.key;
            history_bytes_ -= superseded ? internal::size_of(earlier.item) : 0;
            return superseded;
        });
    }
    history_bytes_ += internal::size_of(change.item);
    history_.push_back(change);
}

void registry_cache::trim_history() {
    while (history_.size() > settings_.history_changes ||
           history_bytes_ > settings_.history_bytes) {
        // Changes of one revision leave together.
        history_from_ = history_.front().item.revision;
        while (!history_.empty() && history_.front().item.revision <= history_from_) {
            history_bytes_ -= internal::size_of(history_.front().item);
            history_.pop_front();
        }
    }
}

} // namespace lovagemoor::proxy
