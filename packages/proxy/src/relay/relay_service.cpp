#include <lovagemoor/proxy/relay/relay_service.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Limit on the items of an answer, so that it fits in a frame of the link: the largest value of
/// the registry (1 MiB) with its key and some small ones.
constexpr std::size_t max_answer_bytes = (std::size_t{1} << 20U) + (std::size_t{64} << 10U);

bool fits(std::size_t bytes, const registry_item& item) {
    return bytes + item.key.size() + item.value.size() <= max_answer_bytes;
}

/// @return True if the requester knows a later era than this host.
bool is_ahead(const std::optional<registry_era>& requester,
              const std::optional<registry_era>& own) {
    return requester.has_value() && (!own.has_value() || *requester > *own);
}

} // namespace

} // namespace internal

relay_service::relay_service(std::string proved_prefix, relay_settings settings, hooks functions)
    : proved_prefix_{std::move(proved_prefix)}, settings_{settings}, hooks_{std::move(functions)} {}

void relay_service::set_active(bool active) {
    if (active == active_) {
        return;
    }
    active_ = active;
    asked_at_.reset();
    for (auto& [prefix, items] : followed_) {
        refuse_watches(items.cache, relay_refusal::not_relay);
        items.cache.reset();
    }
}

void relay_service::on_followed(const std::string& prefix, bool polled) {
    followed_[prefix].polled = polled;
}

void relay_service::on_page(core::time_point sent, const list_items& call, const item_page& page) {
    const auto found = followed_.find(call.prefix);
    if (active_ && found != followed_.end()) {
        found->second.cache.on_page(hooks_.now(), sent, call, page);
        deliver(call.prefix);
    }
}

void relay_service::on_changes(core::time_point sent, const watch_items& call,
                               const item_changes& changes) {
    const auto found = followed_.find(call.prefix);
    if (active_ && found != followed_.end()) {
        found->second.cache.on_changes(hooks_.now(), sent, call, changes);
        deliver(call.prefix);
    }
}

void relay_service::on_restored() {
    ++generation_;
    for (auto& [prefix, items] : followed_) {
        items.cache.reset();
        items.refreshing = false;
        for (const waiting_request& waiting : std::exchange(items.waiting, {})) {
            refuse(waiting.sender, waiting.request, relay_refusal::not_held);
        }
        deliver(prefix);
    }
}

void relay_service::on_request(requester sender, const relay_request& request) {
    if (!active_) {
        refuse(sender, request, relay_refusal::not_relay);
        return;
    }
    const core::time_point now = hooks_.now();
    if (!proof_wanted()) {
        proof_wanted_since_ = now;
    }
    asked_at_ = now;
    const waiting_request waiting{sender, request, now + proof_wait};
    // If earlier proofs have failed, the next one is not likely to come within the wait.
    const bool may_wait = now - proof_wanted_since_ <= settings_.proof_age_max;
    if (internal::is_ahead(request.era, hooks_.current_era())) {
        refuse(sender, request, relay_refusal::outdated_era);
    } else if (has_recent_proof()) {
        handle(waiting, true);
    } else if (may_wait && unproved_.size() < max_watches) {
        unproved_.push_back(waiting);
        const auto proved = followed_.find(proved_prefix_);
        if (proved != followed_.end() && !proved->second.cache.known()) {
            refresh(proved_prefix_);
        }
    } else {
        refuse(sender, request, relay_refusal::no_proof);
    }
}

void relay_service::handle(const waiting_request& waiting, bool may_refresh) {
    const auto found = followed_.find(waiting.request.prefix());
    if (found == followed_.end()) {
        refuse(waiting.sender, waiting.request, relay_refusal::not_held);
    } else if (std::holds_alternative<list_items>(waiting.request.call)) {
        answer_list(waiting, found->second, may_refresh);
    } else {
        answer_watch(waiting, found->second, may_refresh);
    }
}

void relay_service::answer_list(const waiting_request& waiting, followed_items& items,
                                bool may_refresh) {
    const auto& call = std::get<list_items>(waiting.request.call);
    // The pages of one list come from the same state if possible.
    const bool outdated =
        items.polled && call.after_key.empty() &&
        hooks_.now() - items.cache.proved_as_of().value_or(core::time_point{}) > polled_age_max;
    if (may_refresh && (!items.cache.known() || outdated)) {
        items.waiting.push_back(waiting);
        refresh(call.prefix);
        return;
    }
    std::optional<item_page> page = items.cache.list(call);
    if (!page.has_value() || (page->items.size() == 1 && !internal::fits(0, page->items.front()))) {
        refuse(waiting.sender, waiting.request, relay_refusal::not_held);
        return;
    }
    send(waiting.sender, waiting.request.number, std::move(*page));
}

void relay_service::answer_watch(const waiting_request& waiting, followed_items& items,
                                 bool may_refresh) {
    const auto& call = std::get<watch_items>(waiting.request.call);
    if (may_refresh && !items.polled && !items.cache.known()) {
        items.waiting.push_back(waiting);
        refresh(call.prefix);
        return;
    }
    // Without an era, a registry that came back from an older copy and a relay that lies behind
    // look the same.
    const bool comparable =
        call.after <= items.cache.revision() || hooks_.current_era().has_value();
    if (!comparable || watchers_.size() >= max_watches) {
        refuse(waiting.sender, waiting.request, relay_refusal::not_held);
        return;
    }
    item_changes changes;
    const registry_cache::ticket ticket = ++last_ticket_;
    switch (items.cache.watch(hooks_.now(), ticket, call, changes)) {
    case registry_cache::watch_result::answered:
        send(waiting.sender, waiting.request.number, std::move(changes));
        break;
    case registry_cache::watch_result::pending:
        watchers_[ticket] = watcher{waiting.sender, waiting.request.number, call.prefix};
        break;
    case registry_cache::watch_result::not_held:
        refuse(waiting.sender, waiting.request, relay_refusal::not_held);
        break;
    }
}

void relay_service::refresh(const std::string& prefix) {
    followed_items& items = followed_[prefix];
    if (!std::exchange(items.refreshing, true)) {
        list_page({prefix, {}, items.polled});
    }
}

void relay_service::list_page(const list_items& call) {
    hooks_.list(call,
                [this, call, sent = hooks_.now(), generation = generation_](const item_page& page) {
                    if (generation != generation_) {
                        return;
                    }
                    if (page.status == registry_status::done && page.more && !page.items.empty()) {
                        on_page(sent, call, page);
                        list_page({call.prefix, page.items.back().key, call.may_be_stale});
                        return;
                    }
                    on_page(sent, call, page);
                    end_refresh(call.prefix);
                });
}

void relay_service::end_refresh(const std::string& prefix) {
    followed_items& items = followed_[prefix];
    items.refreshing = false;
    for (const waiting_request& waiting : std::exchange(items.waiting, {})) {
        handle(waiting, false);
    }
}

void relay_service::deliver(const std::string& prefix) {
    for (registry_cache::answered_watch& answered :
         followed_[prefix].cache.take_answers(hooks_.now())) {
        const auto found = watchers_.find(answered.number);
        if (found != watchers_.end()) {
            const watcher target = std::move(found->second);
            watchers_.erase(found);
            send(target.sender, target.number, std::move(answered.changes));
        }
    }
    if (prefix == proved_prefix_) {
        retry_unproved();
    }
}

void relay_service::retry_unproved() {
    if (!has_recent_proof()) {
        return;
    }
    for (const waiting_request& waiting : std::exchange(unproved_, {})) {
        handle(waiting, true);
    }
}

void relay_service::on_requester_lost(requester sender) {
    for (auto entry = watchers_.begin(); entry != watchers_.end();) {
        if (entry->second.sender == sender) {
            followed_[entry->second.prefix].cache.forget(entry->first);
            entry = watchers_.erase(entry);
        } else {
            ++entry;
        }
    }
    const auto is_of_sender = [sender](const waiting_request& waiting) {
        return waiting.sender == sender;
    };
    std::erase_if(unproved_, is_of_sender);
    for (auto& [prefix, items] : followed_) {
        std::erase_if(items.waiting, is_of_sender);
    }
}

void relay_service::poll() {
    if (!active_) {
        return;
    }
    const bool proved = has_recent_proof();
    for (auto& [prefix, items] : followed_) {
        deliver(prefix);
        if (!proved) {
            refuse_watches(items.cache, relay_refusal::no_proof);
        }
    }
    const core::time_point now = hooks_.now();
    for (const waiting_request& waiting : std::exchange(unproved_, {})) {
        if (now < waiting.until) {
            unproved_.push_back(waiting);
        } else {
            refuse(waiting.sender, waiting.request, relay_refusal::no_proof);
        }
    }
}

bool relay_service::proof_wanted() const {
    return active_ && asked_at_.has_value() && hooks_.now() - *asked_at_ < proof_retention;
}

std::optional<core::time_point> relay_service::proved_as_of() const {
    const auto found = followed_.find(proved_prefix_);
    return found == followed_.end() ? std::nullopt : found->second.cache.proved_as_of();
}

bool relay_service::has_recent_proof() const {
    const std::optional<core::time_point> as_of = proved_as_of();
    return as_of.has_value() && hooks_.now() - *as_of <= settings_.proof_age_max;
}

void relay_service::send(requester sender, std::uint64_t number, item_page page) {
    send(sender, relay_answer{number, relay_refusal::none, std::move(page), {}});
}

void relay_service::send(requester sender, std::uint64_t number, item_changes changes) {
    std::size_t bytes = 0;
    for (const item_change& change : changes.changes) {
        bytes += change.item.key.size() + change.item.value.size();
    }
    if (bytes > internal::max_answer_bytes) {
        // The pages of a list are bounded.
        changes = item_changes{registry_status::history_lost, {}, 0, {}};
    }
    send(sender, relay_answer{number, relay_refusal::none, std::move(changes), {}});
}

void relay_service::send(requester sender, relay_answer answer) {
    std::visit([this](auto& result) { result.era = hooks_.current_era(); }, answer.result);
    answer.proof_age = proof_age();
    hooks_.answer(sender, answer);
}

std::chrono::milliseconds relay_service::proof_age() const {
    const std::optional<core::time_point> as_of = proved_as_of();
    const core::duration age = as_of.has_value() ? core::duration{hooks_.now() - *as_of}
                                                 : core::duration{settings_.proof_age_max};
    // Rounded up, as a proof must not appear younger than it is.
    return std::chrono::ceil<std::chrono::milliseconds>(age);
}

void relay_service::refuse(requester sender, const relay_request& request, relay_refusal reason) {
    relay_answer answer{request.number, reason, item_page{}, proof_age()};
    if (std::holds_alternative<watch_items>(request.call)) {
        answer.result = item_changes{};
    }
    hooks_.answer(sender, answer);
}

void relay_service::refuse_watches(registry_cache& cache, relay_refusal reason) {
    for (const registry_cache::ticket ticket : cache.abandon_watches()) {
        const auto found = watchers_.find(ticket);
        if (found != watchers_.end()) {
            const watcher target = std::move(found->second);
            watchers_.erase(found);
            hooks_.answer(target.sender,
                          relay_answer{target.number, reason, item_changes{}, proof_age()});
        }
    }
}

} // namespace lovagemoor::proxy
