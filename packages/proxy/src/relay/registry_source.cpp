#include <lovagemoor/proxy/relay/registry_source.hpp>

#include <lovagemoor/core/overloaded.hpp>

#include <algorithm>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

const std::string& prefix_of(const registry_source::call& made) {
    return std::visit([](const auto& value) -> const std::string& { return value.prefix; }, made);
}

/// @return True for a list whose state must not lie behind what the host knows.
bool is_exact_list(const registry_source::call& made) {
    const list_items* const list = std::get_if<list_items>(&made);
    return list != nullptr && !list->may_be_stale;
}

relay_service::hooks service_hooks(const registry_source::hooks& functions) {
    relay_service::hooks result;
    result.now = functions.now;
    result.current_era = functions.current_era;
    result.answer = functions.send_answer;
    result.list = [list = functions.list, on_call = functions.on_call,
                   on_item_read = functions.on_item_read](
                      const list_items& made, std::function<void(const item_page&)> done) {
        on_call(made, registry_source::purpose::refresh, false);
        list(made, [on_item_read, done = std::move(done)](const item_page& page) {
            for (const registry_item& item : page.items) {
                on_item_read(item, registry_source::purpose::refresh, false);
            }
            done(page);
        });
    };
    return result;
}

} // namespace

} // namespace internal

registry_source::registry_source(core::host_id host, core::domain_id domain,
                                 std::string proved_prefix, std::set<std::string> relayed_prefixes,
                                 relay_settings settings, hooks functions)
    : document_prefix_{proved_prefix},
      relayed_prefixes_{std::move(relayed_prefixes)},
      hooks_{std::move(functions)},
      selector_{std::move(host), std::move(domain), settings},
      service_{std::move(proved_prefix), settings, internal::service_hooks(hooks_)} {}

void registry_source::list(const list_items& made, purpose reason, page_handler done) {
    if (reason == purpose::follow && relayed_prefixes_.contains(made.prefix)) {
        service_.on_followed(made.prefix, made.may_be_stale);
    }
    if (reason == purpose::follow) {
        abandon_watch(made.prefix);
    }
    start({made, reason, std::move(done)});
}

void registry_source::watch(const watch_items& made, purpose reason, changes_handler done) {
    if (reason == purpose::follow && relayed_prefixes_.contains(made.prefix)) {
        service_.on_followed(made.prefix, false);
    }
    if (reason == purpose::follow) {
        abandon_watch(made.prefix);
    }
    start({made, reason, std::move(done)});
}

void registry_source::abandon_watch(const std::string& prefix) {
    const auto is_watch = [&prefix](const pending_call& pending) {
        const watch_items* const watch = std::get_if<watch_items>(&pending.made);
        return watch != nullptr && pending.reason == purpose::follow && watch->prefix == prefix;
    };
    std::erase_if(direct_watches_, [&](auto& entry) {
        return is_watch(entry.second.pending) && entry.second.abandon();
    });
    std::erase_if(delayed_, [&](const auto& delayed) { return is_watch(delayed.pending); });
    for (auto entry = relayed_.begin(); entry != relayed_.end();) {
        if (is_watch(entry->second.pending)) {
            hooks_.on_settled(entry->second.relay);
            entry = relayed_.erase(entry);
        } else {
            ++entry;
        }
    }
}

void registry_source::start(pending_call pending) {
    if (send_to_relay(pending)) {
        return;
    }
    if (may_wait_for_relay(pending)) {
        wait_for_relay(std::move(pending));
    } else {
        call_registry(std::move(pending));
    }
}

bool registry_source::may_wait_for_relay(const pending_call& pending) const {
    // Until the first document has been read, it may be large.
    const bool large = !document_bytes_.has_value() ||
                       *document_bytes_ >= selector_.settings().large_document_bytes;
    return large && internal::prefix_of(pending.made) == document_prefix_ &&
           selector_.document_delay().count() > 0;
}

void registry_source::wait_for_relay(pending_call pending) {
    const core::time_point now = hooks_.now();
    if (!pending.direct_at.has_value()) {
        pending.direct_at = now + selector_.document_delay();
    }
    const core::time_point at = *pending.direct_at;
    if (now >= at) {
        call_registry_now(std::move(pending));
    } else {
        delayed_.push_back({std::move(pending), at, true});
    }
}

bool registry_source::send_to_relay(pending_call& pending) {
    if (!relayed_prefixes_.contains(internal::prefix_of(pending.made))) {
        return false;
    }
    const core::time_point now = hooks_.now();
    const std::optional<core::host_id> relay =
        pending.reason == purpose::prove ? selector_.relay_for_proof(now) : selector_.relay(now);
    if (!relay.has_value()) {
        return false;
    }
    if (*relay == selector_.relay(now)) {
        pending.direct_at.reset();
    }
    const std::uint64_t number = ++last_number_;
    if (!hooks_.send_request(*relay, {number, pending.made, hooks_.current_era()})) {
        return false;
    }
    hooks_.on_call(pending.made, pending.reason, true);
    core::time_point deadline = now + selector_.settings().answer_timeout;
    if (const watch_items* const watch = std::get_if<watch_items>(&pending.made)) {
        deadline += watch->wait;
    }
    relayed_.emplace(number, relayed_call{std::move(pending), *relay, deadline});
    return true;
}

void registry_source::call_registry(pending_call pending) {
    const core::time_point now = hooks_.now();
    const core::duration delay = selector_.direct_delay(now);
    if (delay.count() > 0 && relayed_prefixes_.contains(internal::prefix_of(pending.made))) {
        delayed_.push_back({std::move(pending), now + delay});
    } else {
        call_registry_now(std::move(pending));
    }
}

void registry_source::call_registry_now(pending_call pending) {
    hooks_.on_call(pending.made, pending.reason, false);
    // Checks read no state that is followed, and late answers of an earlier era change nothing.
    const auto is_current = [this, generation = generation_] { return generation == generation_; };
    const core::time_point sent = hooks_.now();
    std::visit(
        core::overloaded{
            [&](const list_items& made) {
                hooks_.list(made, [this, sent, made, is_current, pending](const item_page& page) {
                    if (is_current() && pending.reason != purpose::check) {
                        service_.on_page(sent, made, page);
                    }
                    if (is_current()) {
                        finish(pending, page, {});
                    } else {
                        std::get<page_handler>(pending.done)(page, {});
                    }
                });
            },
            [&](const watch_items& made) {
                const std::uint64_t number = ++last_number_;
                std::function<bool()> abandon =
                    hooks_.watch(made, [this, number, sent, made, is_current,
                                        pending](const item_changes& changes) {
                        if (is_current()) {
                            direct_watches_.erase(number);
                            service_.on_changes(sent, made, changes);
                            finish(pending, changes, {});
                        } else {
                            std::get<changes_handler>(pending.done)(changes, {});
                        }
                    });
                if (pending.reason == purpose::follow && abandon &&
                    relayed_prefixes_.contains(made.prefix)) {
                    direct_watches_.emplace(number, direct_watch{pending, std::move(abandon)});
                }
            },
        },
        pending.made);
}

void registry_source::finish(const pending_call& pending, const item_page& page,
                             const origin& source) {
    for (const registry_item& item : page.items) {
        note_read(item, pending.reason, source.relayed);
    }
    const auto& made = std::get<list_items>(pending.made);
    if (page.status == registry_status::done && !made.may_be_stale) {
        registry_revision& known = known_revision(made.prefix);
        const bool starts_list =
            !source.relayed && pending.reason == purpose::follow && made.after_key.empty();
        // A registry that names no era may have come back from an older copy.
        known = starts_list ? page.revision : std::max(known, page.revision);
    }
    std::get<page_handler>(pending.done)(page, source);
}

void registry_source::finish(const pending_call& pending, const item_changes& changes,
                             const origin& source) {
    for (const item_change& change : changes.changes) {
        note_read(change.item, pending.reason, source.relayed);
    }
    if (changes.status == registry_status::done) {
        registry_revision& known = known_revision(internal::prefix_of(pending.made));
        known = std::max(known, changes.revision);
    }
    std::get<changes_handler>(pending.done)(changes, source);
}

void registry_source::note_read(const registry_item& item, purpose reason, bool relayed) {
    if (item.key == document_prefix_) {
        document_bytes_ = item.value.size();
    }
    hooks_.on_item_read(item, reason, relayed);
}

void registry_source::on_peers(const std::vector<link_peer>& peers) {
    selector_.on_peers(peers);
    service_.set_active(selector_.is_relay());
    std::set<core::host_id> left;
    for (const auto& [number, waiting] : relayed_) {
        if (!selector_.is_candidate(waiting.relay)) {
            left.insert(waiting.relay);
        }
    }
    for (const core::host_id& relay : left) {
        leave_relay(relay);
    }
}

void registry_source::on_restored() {
    ++generation_;
    known_revisions_.clear();
    delayed_.clear();
    direct_watches_.clear();
    for (const auto& [number, waiting] : std::exchange(relayed_, {})) {
        hooks_.on_settled(waiting.relay);
    }
    service_.on_restored();
}

bool registry_source::is_acceptable(const pending_call& pending, const relay_answer& answer) const {
    const item_page* const page = std::get_if<item_page>(&answer.result);
    if ((page != nullptr) != std::holds_alternative<page_handler>(pending.done)) {
        return false;
    }
    if (page == nullptr) {
        const registry_status status = std::get<item_changes>(answer.result).status;
        return status == registry_status::done || status == registry_status::history_lost;
    }
    const auto known = known_revisions_.find(internal::prefix_of(pending.made));
    const bool lies_behind = internal::is_exact_list(pending.made) &&
                             known != known_revisions_.end() && page->revision < known->second;
    return page->status == registry_status::done && !lies_behind;
}

void registry_source::on_answer(const core::host_id& relay, const relay_answer& answer) {
    const auto found = relayed_.find(answer.number);
    if (found == relayed_.end() || found->second.relay != relay) {
        return;
    }
    if (answer.refusal == relay_refusal::no_proof || answer.refusal == relay_refusal::not_relay) {
        fail_relay(relay, answer.refusal == relay_refusal::no_proof ? "no_proof" : "not_relay",
                   answer.proof_age);
        return;
    }
    const bool answered = answer.refusal == relay_refusal::none;
    if (answered && answer.proof_age > selector_.settings().proof_age_max) {
        fail_relay(relay, "old_proof", answer.proof_age);
        return;
    }
    pending_call pending = std::move(found->second.pending);
    relayed_.erase(found);
    hooks_.on_settled(relay);
    const std::uint64_t generation = generation_;
    const bool accepted =
        answered && hooks_.accept_answer(
                        std::visit([](const auto& result) { return result.era; }, answer.result));
    if (generation != generation_) {
        // The answer is the first one of a later era, and all calls start afresh.
        return;
    }
    if (!accepted || !is_acceptable(pending, answer)) {
        call_registry(std::move(pending));
        return;
    }
    const bool proved = pending.reason == purpose::prove;
    if (proved) {
        selector_.on_proof(relay);
    }
    std::visit(
        [&](const auto& result) {
            finish(pending, result, {true, answer.proof_age});
        },
        answer.result);
    if (proved && generation == generation_) {
        move_watches();
        start_delayed();
    }
}

void registry_source::move_watches() {
    const std::optional<core::host_id> relay = selector_.relay(hooks_.now());
    if (!relay.has_value()) {
        return;
    }
    std::vector<pending_call> moved;
    for (auto entry = direct_watches_.begin(); entry != direct_watches_.end();) {
        if (entry->second.abandon()) {
            moved.push_back(std::move(entry->second.pending));
            entry = direct_watches_.erase(entry);
        } else {
            ++entry;
        }
    }
    for (auto entry = relayed_.begin(); entry != relayed_.end();) {
        const relayed_call& waiting = entry->second;
        if (waiting.relay != *relay && waiting.pending.reason == purpose::follow &&
            std::holds_alternative<watch_items>(waiting.pending.made)) {
            hooks_.on_settled(waiting.relay);
            moved.push_back(std::move(entry->second.pending));
            entry = relayed_.erase(entry);
        } else {
            ++entry;
        }
    }
    for (pending_call& pending : moved) {
        start(std::move(pending));
    }
}

void registry_source::on_relay_lost(const core::host_id& relay) {
    const bool waits = std::any_of(relayed_.begin(), relayed_.end(), [&relay](const auto& entry) {
        return entry.second.relay == relay;
    });
    if (waits) {
        fail_relay(relay, "lost");
    }
}

void registry_source::fail_relay(const core::host_id& relay, const char* reason,
                                 std::chrono::milliseconds proof_age) {
    hooks_.on_relay_failure(relay, reason, proof_age);
    selector_.on_failure(hooks_.now(), relay);
    leave_relay(relay);
}

void registry_source::leave_relay(const core::host_id& relay) {
    std::vector<pending_call> left;
    for (auto entry = relayed_.begin(); entry != relayed_.end();) {
        if (entry->second.relay == relay) {
            left.push_back(std::move(entry->second.pending));
            entry = relayed_.erase(entry);
            hooks_.on_settled(relay);
        } else {
            ++entry;
        }
    }
    for (pending_call& pending : left) {
        // The next relay is asked at once for a large document only. For other calls, a relay that
        // does not answer either would delay the change further.
        if (may_wait_for_relay(pending)) {
            start(std::move(pending));
        } else {
            call_registry(std::move(pending));
        }
    }
}

void registry_source::on_request(relay_service::requester sender, const relay_request& request) {
    if (selector_.on_asked(hooks_.now())) {
        service_.set_active(true);
        // A relay answers from what it reads itself.
        for (const core::host_id& relay : relays_waited_for()) {
            leave_relay(relay);
        }
    }
    service_.on_request(sender, request);
}

std::set<core::host_id> registry_source::relays_waited_for() const {
    std::set<core::host_id> relays;
    for (const auto& [number, waiting] : relayed_) {
        relays.insert(waiting.relay);
    }
    return relays;
}

void registry_source::on_requester_lost(relay_service::requester sender) {
    service_.on_requester_lost(sender);
}

void registry_source::poll() {
    const core::time_point now = hooks_.now();
    std::set<core::host_id> late;
    for (const auto& [number, waiting] : relayed_) {
        if (now >= waiting.deadline) {
            late.insert(waiting.relay);
        }
    }
    for (const core::host_id& relay : late) {
        fail_relay(relay, "timed_out");
    }
    start_delayed();
    if (selector_.end_standby(now)) {
        service_.set_active(false);
    }
    service_.poll();
}

void registry_source::start_delayed() {
    const core::time_point now = hooks_.now();
    for (delayed_call& delayed : std::exchange(delayed_, {})) {
        if (delayed.waits_for_relay && send_to_relay(delayed.pending)) {
            continue;
        }
        const bool waits_in_vain = delayed.waits_for_relay && !may_wait_for_relay(delayed.pending);
        if (now >= delayed.at || waits_in_vain) {
            call_registry_now(std::move(delayed.pending));
        } else {
            delayed_.push_back(std::move(delayed));
        }
    }
}

std::optional<std::chrono::milliseconds>
registry_source::proof_interval(const std::optional<std::chrono::milliseconds>& configured) const {
    const core::time_point now = hooks_.now();
    const bool asks = selector_.relay_for_proof(now).has_value();
    const bool waits = std::any_of(delayed_.begin(), delayed_.end(),
                                   [](const auto& delayed) { return delayed.waits_for_relay; });
    if (asks && waits && !selector_.relay(now).has_value()) {
        return std::chrono::milliseconds{0};
    }
    if (!asks && !service_.proof_wanted()) {
        return configured;
    }
    const std::chrono::milliseconds wanted = selector_.settings().proof_interval;
    return configured.has_value() ? std::min(*configured, wanted) : wanted;
}

} // namespace lovagemoor::proxy
