#include "registry_relay.hpp"

#include <lovagemoor/core/overloaded.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

namespace lovagemoor {

namespace internal {

namespace {

/// @return The name of a call's kind in metrics.
std::string kind_of(const proxy::registry_source::call& made, registry_relay::purpose reason) {
    if (reason == registry_relay::purpose::prove) {
        return "proof";
    }
    return std::holds_alternative<proxy::list_items>(made) ? "list" : "watch";
}

const char* name_of(registry_relay::purpose reason) {
    switch (reason) {
    case registry_relay::purpose::follow:
        return "follow";
    case registry_relay::purpose::check:
        return "check";
    case registry_relay::purpose::prove:
        return "prove";
    case registry_relay::purpose::refresh:
        break;
    }
    return "refresh";
}

template <typename Message>
std::optional<proxy::registry_era> era_of(const Message& message) {
    return message.has_era() ? std::optional<proxy::registry_era>{message.era()} : std::nullopt;
}

template <typename Message>
void set_era(Message& message, const std::optional<proxy::registry_era>& era) {
    message.set_has_era(era.has_value());
    message.set_era(era.value_or(0));
}

/// @return A time in milliseconds as a field of a frame holds it. The longest one stands for all
/// that are longer.
std::uint32_t milliseconds_field(std::chrono::milliseconds time) {
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

/// @brief Names the values of which the requester needs no copy.
template <typename Message>
void set_held(Message& message, const std::vector<proxy::held_value>& held) {
    message.set_accepts_encoded(true);
    for (const proxy::held_value& value : held) {
        link::v1::HeldValue& named = *message.add_held();
        named.set_key(value.key);
        named.set_revision(value.revision);
        named.set_digest(value.digest);
    }
}

template <typename Message>
std::vector<proxy::held_value> held_of(const Message& message) {
    std::vector<proxy::held_value> held;
    for (const link::v1::HeldValue& value : message.held()) {
        held.push_back({value.key(), value.revision(), value.digest()});
    }
    return held;
}

link::frame encode(const proxy::relay_request& request,
                   const std::vector<proxy::held_value>& held) {
    link::frame message;
    std::visit(core::overloaded{
                   [&](const proxy::list_items& made) {
                       link::v1::RelayList& body = *message.mutable_relay_list();
                       body.set_number(request.number);
                       body.set_prefix(made.prefix);
                       body.set_after_key(made.after_key);
                       body.set_may_be_stale(made.may_be_stale);
                       set_era(body, request.era);
                       set_held(body, held);
                   },
                   [&](const proxy::watch_items& made) {
                       link::v1::RelayWatch& body = *message.mutable_relay_watch();
                       body.set_number(request.number);
                       body.set_prefix(made.prefix);
                       body.set_after_revision(made.after);
                       body.set_wait_ms(milliseconds_field(made.wait));
                       set_era(body, request.era);
                       set_held(body, held);
                   },
               },
               request.call);
    return message;
}

proxy::relay_request decode(const link::v1::RelayList& body) {
    return {body.number(), proxy::list_items{body.prefix(), body.after_key(), body.may_be_stale()},
            era_of(body)};
}

proxy::relay_request decode(const link::v1::RelayWatch& body) {
    return {body.number(),
            proxy::watch_items{body.prefix(), body.after_revision(),
                               std::chrono::milliseconds{body.wait_ms()}},
            era_of(body)};
}

using value_encoder = std::function<proxy::encoded_value(const proxy::registry_item&)>;

void encode_item(const proxy::registry_item& item, const value_encoder& encode_value,
                 link::v1::RelayItem& encoded) {
    proxy::encoded_value value = encode_value(item);
    encoded.set_key(item.key);
    encoded.set_value(std::move(value.bytes));
    encoded.set_encoding(static_cast<link::v1::ValueEncoding>(value.encoding));
    encoded.set_base_revision(value.base);
    encoded.set_revision(item.revision);
    encoded.set_lease(item.lease);
}

/// @return Empty if this host cannot decode the value.
std::optional<proxy::registry_item> decode_item(const link::v1::RelayItem& item,
                                                const proxy::value_codec& values) {
    constexpr int last_encoding = static_cast<int>(proxy::value_encoding::held);
    const int encoding = static_cast<int>(item.encoding());
    if (encoding < 0 || encoding > last_encoding) {
        return std::nullopt;
    }
    std::optional<std::string> value =
        values.decode(item.key(), {static_cast<proxy::value_encoding>(encoding),
                                   item.base_revision(), item.value()});
    if (!value.has_value()) {
        return std::nullopt;
    }
    return proxy::registry_item{item.key(), std::move(*value), item.revision(), item.lease()};
}

/// @brief Sets the fields that answers to lists and watches share.
template <typename Message, typename Result>
void encode_result(const proxy::relay_answer& answer, const Result& result, Message& body) {
    body.set_number(answer.number);
    body.set_status(static_cast<std::uint32_t>(result.status));
    body.set_revision(result.revision);
    set_era(body, result.era);
    body.set_proof_age_ms(milliseconds_field(answer.proof_age));
    body.set_refusal(static_cast<link::v1::RelayRefusal>(answer.refusal));
}

link::frame encode(const proxy::relay_answer& answer, const value_encoder& encode_value) {
    link::frame message;
    std::visit(core::overloaded{
                   [&](const proxy::item_page& page) {
                       link::v1::RelayPage& body = *message.mutable_relay_page();
                       encode_result(answer, page, body);
                       body.set_more(page.more);
                       for (const proxy::registry_item& item : page.items) {
                           encode_item(item, encode_value, *body.add_items());
                       }
                   },
                   [&](const proxy::item_changes& changes) {
                       link::v1::RelayChanges& body = *message.mutable_relay_changes();
                       encode_result(answer, changes, body);
                       for (const proxy::item_change& change : changes.changes) {
                           link::v1::RelayItem& encoded = *body.add_changes();
                           encode_item(change.item, encode_value, encoded);
                           encoded.set_removed(change.removed);
                       }
                   },
               },
               answer.result);
    return message;
}

/// @param complete False if a value could not be decoded.
/// @return The answer. It counts as a call that the relay cannot answer if it is not complete or
/// has a refusal that this build does not know.
template <typename Message, typename Result>
proxy::relay_answer decode_result(const Message& body, Result result, bool complete) {
    constexpr auto last_status = static_cast<std::uint32_t>(proxy::registry_status::unknown);
    constexpr auto last_refusal = static_cast<int>(proxy::relay_refusal::not_relay);
    proxy::relay_answer answer;
    answer.number = body.number();
    const int refusal = static_cast<int>(body.refusal());
    answer.refusal =
        complete && refusal >= 0 && refusal <= last_refusal && body.status() <= last_status
            ? static_cast<proxy::relay_refusal>(refusal)
            : proxy::relay_refusal::not_held;
    result.status = body.status() <= last_status
                        ? static_cast<proxy::registry_status>(body.status())
                        : proxy::registry_status::unknown;
    result.revision = body.revision();
    result.era = era_of(body);
    answer.result = std::move(result);
    answer.proof_age = std::chrono::milliseconds{body.proof_age_ms()};
    return answer;
}

proxy::relay_answer decode(const link::v1::RelayPage& body, const proxy::value_codec& values) {
    proxy::item_page page;
    page.more = body.more();
    bool complete = true;
    for (const link::v1::RelayItem& item : body.items()) {
        std::optional<proxy::registry_item> decoded = decode_item(item, values);
        complete = complete && decoded.has_value();
        if (decoded.has_value()) {
            page.items.push_back(std::move(*decoded));
        }
    }
    return decode_result(body, std::move(page), complete);
}

proxy::relay_answer decode(const link::v1::RelayChanges& body, const proxy::value_codec& values) {
    proxy::item_changes changes;
    bool complete = true;
    for (const link::v1::RelayItem& item : body.changes()) {
        std::optional<proxy::registry_item> decoded = decode_item(item, values);
        complete = complete && decoded.has_value();
        if (decoded.has_value()) {
            changes.changes.push_back({std::move(*decoded), item.removed()});
        }
    }
    return decode_result(body, std::move(changes), complete);
}

} // namespace

} // namespace internal

registry_relay::registry_relay(platform_adapter::registry_client& client, link_router* router,
                               configuration parameters, hooks functions)
    : client_{client},
      router_{router},
      proved_prefix_{parameters.proved_prefix},
      relayed_prefixes_{parameters.relayed_prefixes},
      source_{std::move(parameters.host),
              std::move(parameters.domain),
              std::move(parameters.proved_prefix),
              std::move(parameters.relayed_prefixes),
              parameters.settings,
              source_hooks(std::move(functions))} {
    if (router_ != nullptr) {
        receive_frames();
    }
}

proxy::registry_source::hooks registry_relay::source_hooks(hooks functions) {
    proxy::registry_source::hooks result;
    result.now = std::move(functions.now);
    result.current_era = std::move(functions.current_era);
    result.accept_answer = std::move(functions.accept_answer);
    result.list = [this](const proxy::list_items& made,
                         std::function<void(const proxy::item_page&)> done) {
        client_.list(made, std::move(done));
    };
    result.watch = [this](const proxy::watch_items& made,
                          std::function<void(const proxy::item_changes&)> done) {
        return client_.watch(made, std::move(done));
    };
    result.send_request = [this](const core::host_id& relay, const proxy::relay_request& request) {
        return send_request(relay, request);
    };
    result.on_settled = [this](const core::host_id& relay) { settle(relay); };
    result.send_answer = [this](proxy::relay_service::requester requester,
                                const proxy::relay_answer& answer) {
        send_answer(requester, answer);
    };
    result.on_call = [this, count = functions.count](const proxy::registry_source::call& made,
                                                     purpose reason, bool relayed) {
        const bool relayable = relayed_prefixes_.contains(
            std::visit([](const auto& value) { return value.prefix; }, made));
        const char* const direct = relayable ? "registry" : "registry_only";
        count(
            {"lovagemoor_registry_calls_total",
             {{"kind", internal::kind_of(made, reason)}, {"source", relayed ? "relay" : direct}}});
    };
    result.on_item_read = [this, now = result.now, count = functions.count, log = functions.log](
                              const proxy::registry_item& item, purpose reason, bool relayed) {
        if (!is_large(item.value.size())) {
            return;
        }
        const char* const source = relayed ? "relay" : "registry";
        count({"lovagemoor_registry_documents_total",
               {{"purpose", internal::name_of(reason)}, {"source", source}}});
        log({core::log_event::level::info,
             "registry_document_read",
             {{"key", item.key},
              {"revision", std::to_string(item.revision)},
              {"bytes", std::to_string(item.value.size())},
              {"purpose", internal::name_of(reason)},
              {"source", source},
              {"is_relay", source_.selector().is_relay() ? "true" : "false"},
              {"has_relay", source_.selector().relay(now()).has_value() ? "true" : "false"}}});
    };
    result.on_relay_failure = [count = functions.count, log = std::move(functions.log)](
                                  const core::host_id& relay, const char* reason,
                                  std::chrono::milliseconds proof_age) {
        count({"lovagemoor_relay_failures_total", {{"reason", reason}}});
        // A relay that failed is avoided for seconds, which bounds the number of lines.
        log({core::log_event::level::warning,
             "registry_relay_failed",
             {{"relay", relay.value},
              {"reason", reason},
              {"proof_age_ms", std::to_string(proof_age.count())}}});
    };
    return result;
}

void registry_relay::receive_frames() {
    router_->on_frame(link::frame::kRelayList,
                      [this](link::channel_id channel, const link::frame& message) {
                          on_request(channel, message.relay_list());
                      });
    router_->on_frame(link::frame::kRelayWatch,
                      [this](link::channel_id channel, const link::frame& message) {
                          on_request(channel, message.relay_watch());
                      });
    router_->on_frame(link::frame::kRelayPage,
                      [this](link::channel_id channel, const link::frame& message) {
                          on_answer(channel, internal::decode(message.relay_page(), values_));
                      });
    router_->on_frame(link::frame::kRelayChanges,
                      [this](link::channel_id channel, const link::frame& message) {
                          on_answer(channel, internal::decode(message.relay_changes(), values_));
                      });
    router_->on_closed([this](link::channel_id channel) { on_closed(channel); });
}

template <typename Message>
void registry_relay::on_request(link::channel_id channel, const Message& body) {
    received_[{channel, body.number()}] = {body.accepts_encoded(), internal::held_of(body)};
    source_.on_request(channel, internal::decode(body));
    router_->flush();
}

void registry_relay::list(const proxy::list_items& made, purpose reason, page_handler done) {
    source_.list(made, reason,
                 [this, done = std::move(done)](const proxy::item_page& page, const origin& from) {
                     for (const proxy::registry_item& item : page.items) {
                         keep_value(item);
                     }
                     done(page, from);
                 });
}

void registry_relay::watch(const proxy::watch_items& made, purpose reason, changes_handler done) {
    source_.watch(
        made, reason,
        [this, done = std::move(done)](const proxy::item_changes& changes, const origin& from) {
            for (const proxy::item_change& change : changes.changes) {
                keep_value(change.item);
            }
            done(changes, from);
        });
}

void registry_relay::keep_value(const proxy::registry_item& item) {
    // The configuration alone is large in the reference deployments. What other writers store must
    // not fill the memory.
    if (item.key == proved_prefix_) {
        values_.keep(item);
    }
}

void registry_relay::set_peers(const std::vector<proxy::link_peer>& peers) {
    if (router_ != nullptr) {
        source_.on_peers(peers);
    }
}

void registry_relay::on_restored() {
    values_.clear();
    source_.on_restored();
}

bool registry_relay::is_large(std::size_t bytes) const {
    return bytes >= source_.selector().settings().large_document_bytes;
}

void registry_relay::poll() {
    source_.poll();
}

std::optional<std::chrono::milliseconds>
registry_relay::proof_interval(const std::optional<std::chrono::milliseconds>& configured) const {
    return source_.proof_interval(configured);
}

bool registry_relay::send_request(const core::host_id& relay, const proxy::relay_request& request) {
    const link::channel_id channel = router_ == nullptr ? 0 : router_->channel_to(relay);
    if (channel == 0) {
        return false;
    }
    relay_channel& used = channels_[relay];
    if (used.channel != channel) {
        used = relay_channel{channel, 0};
    }
    ++used.outstanding;
    router_->change_expected_answers(channel, 1);
    router_->send(channel, internal::encode(request, values_.held_below(request.prefix())));
    router_->flush();
    return true;
}

void registry_relay::settle(const core::host_id& relay) {
    const auto used = channels_.find(relay);
    if (used != channels_.end() && used->second.outstanding > 0) {
        --used->second.outstanding;
        router_->change_expected_answers(used->second.channel, -1);
    }
}

void registry_relay::send_answer(link::channel_id channel, const proxy::relay_answer& answer) {
    const auto request = received_.extract({channel, answer.number});
    const bool accepts_encoded = !request.empty() && request.mapped().encoded;
    const internal::value_encoder encode_value = [&](const proxy::registry_item& item) {
        return accepts_encoded && item.key == proved_prefix_
                   ? values_.encode(item, request.mapped().held)
                   : proxy::encoded_value{proxy::value_encoding::plain, 0, item.value};
    };
    router_->send(channel, internal::encode(answer, encode_value));
    router_->flush();
}

std::optional<core::host_id> registry_relay::relay_on(link::channel_id channel) const {
    for (const auto& [host, used] : channels_) {
        if (used.channel == channel) {
            return host;
        }
    }
    return std::nullopt;
}

void registry_relay::on_answer(link::channel_id channel, const proxy::relay_answer& answer) {
    const std::optional<core::host_id> relay = relay_on(channel);
    if (relay.has_value()) {
        source_.on_answer(*relay, answer);
    }
}

void registry_relay::on_closed(link::channel_id channel) {
    received_.erase(received_.lower_bound({channel, 0}), received_.upper_bound({channel, ~0ULL}));
    source_.on_requester_lost(channel);
    const std::optional<core::host_id> relay = relay_on(channel);
    if (relay.has_value()) {
        channels_.erase(*relay);
        source_.on_relay_lost(*relay);
    }
}

} // namespace lovagemoor
