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
    : relayed_prefixes_{std::move(relayed_prefixes)},
      hooks_{std::move(functions)},
      selector_{std::move(host), std::move(domain), settings},
      service_{std::move(proved_prefix), settings, internal::service_hooks(hooks_)} {}

void registry_source::list(const list_items& made, purpose reason, page_handler done) {
    if (reason == purpose::follow && relayed_prefixes_.contains(made.prefix)) {
        service_.on_followed(made.prefix, made.may_be_stale);
    }
    start({made, reason, std::move(done)});
}

void registry_source::watch(const watch_items& made, purpose reason, changes_handler done) {
    if (reason == purpose::follow && relayed_prefixes_.contains(made.prefix)) {
        service_.on_followed(made.prefix, false);
    }
    start({made, reason, std::move(done)});
}

void registry_source::start(pending_call pending) {
    if (!send_to_relay(pending)) {
        call_registry(std::move(pending));
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
                hooks_.watch(made,
                             [this, sent, made, is_current, pending](const item_changes& changes) {
                                 if (is_current()) {
                                     service_.on_changes(sent, made, changes);
                                     finish(pending, changes, {});
                                 } else {
                                     std::get<changes_handler>(pending.done)(changes, {});
                                 }
                             });
            },
        },
        pending.made);
}

void registry_source::finish(const pending_call& pending, const item_page& page,
                             const origin& source) {
    for (const registry_item& item : page.items) {
        hooks_.on_item_read(item, pending.reason, source.relayed);
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
        hooks_.on_item_read(change.item, pending.reason, source.relayed);
    }
    if (changes.status == registry_status::done) {
        registry_revision& known = known_revision(internal::prefix_of(pending.made));
        known = std::max(known, changes.revision);
    }
    std::get<changes_handler>(pending.done)(changes, source);
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
    if (pending.reason == purpose::prove) {
        selector_.on_proof(relay);
    }
    std::visit(
        [&](const auto& result) {
            finish(pending, result, {true, answer.proof_age});
        },
        answer.result);
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
        call_registry(std::move(pending));
    }
}

void registry_source::on_request(relay_service::requester sender, const relay_request& request) {
    service_.on_request(sender, request);
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
    for (delayed_call& delayed : std::exchange(delayed_, {})) {
        if (now >= delayed.at) {
            call_registry_now(std::move(delayed.pending));
        } else {
            delayed_.push_back(std::move(delayed));
        }
    }
    service_.poll();
}

std::optional<std::chrono::milliseconds>
registry_source::proof_interval(const std::optional<std::chrono::milliseconds>& configured) const {
    const bool asks = selector_.relay_for_proof(hooks_.now()).has_value();
    if (!asks && !service_.proof_wanted()) {
        return configured;
    }
    const std::chrono::milliseconds wanted = selector_.settings().proof_interval;
    return configured.has_value() ? std::min(*configured, wanted) : wanted;
}

} // namespace lovagemoor::proxy
