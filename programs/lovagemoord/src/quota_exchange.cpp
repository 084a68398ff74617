#include "quota_exchange.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagemoor {

namespace internal {

namespace {

std::uint32_t milliseconds_of(std::chrono::milliseconds value) {
    return static_cast<std::uint32_t>(std::clamp<std::chrono::milliseconds::rep>(
        value.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

} // namespace internal

quota_exchange::quota_exchange(boost::asio::io_context& context, link_router& router,
                               platform_adapter::registry_client& registry, core::host_id host,
                               proxy::quota_settings settings,
                               std::chrono::milliseconds lease_duration,
                               quota_exchange_handlers handlers)
    : context_{context},
      router_{router},
      registry_{registry},
      host_{std::move(host)},
      settings_{settings},
      handlers_{std::move(handlers)},
      owner_{settings, lease_duration},
      claims_{host_, lease_duration},
      floor_hosts_{host_, settings.window, lease_duration},
      started_at_{handlers_.now()} {
    router_.on_frame(link::frame::kQuotaRequest,
                     [this](link::channel_id channel, const link::frame& message) {
                         on_request(channel, message);
                     });
    router_.on_frame(link::frame::kQuotaGrant,
                     [this](link::channel_id channel, const link::frame& message) {
                         on_grant(channel, message);
                     });
    router_.on_closed([this](link::channel_id channel) { on_channel_closed(channel); });
}

void quota_exchange::configure(const proxy::configuration& configuration) {
    if (configuration.version > configuration_version_) {
        configuration_version_ = configuration.version;
        owner_.configure(handlers_.now(), configuration.organisations);
    }
}

void quota_exchange::update(const std::optional<proxy::registry_era>& era, proxy::lease_id lease) {
    if (era != era_ && era_.has_value()) {
        on_lease_lost();
    }
    era_ = era;
    claims_.on_era(handlers_.now(), era);
    claims_.on_lease(lease);
    update_owned_slots();
    send_claims();
    send_release();
    update_floor();
}

void quota_exchange::on_lease_renewed(core::time_point sent) {
    if (!stopped_) {
        owner_.on_lease_renewed(sent);
    }
    floor_hosts_.on_lease_renewed(sent);
}

void quota_exchange::on_lease_lost() {
    owner_.on_lease_lost();
    floor_hosts_.on_lease_lost();
    claims_.on_lease(0);
    update_owned_slots();
    update_floor();
}

void quota_exchange::on_hosts(const std::vector<core::host_id>& hosts) {
    if (handlers_.now() - started_at_ >= hosts_settle_time) {
        claims_.on_hosts(hosts);
    }
    floor_hosts_.on_listed(handlers_.now(), hosts);
    update_floor();
}

void quota_exchange::apply(const proxy::registry_follower::update& update) {
    const core::time_point time = handlers_.now();
    if (update.complete) {
        std::vector<proxy::registry_item> items;
        for (const proxy::item_change& change : update.changes) {
            if (!change.removed) {
                items.push_back(change.item);
            }
        }
        claims_.on_listed(time, items);
    } else {
        for (const proxy::item_change& change : update.changes) {
            claims_.on_changed(time, change);
        }
    }
    update_owned_slots();
}

void quota_exchange::update_owned_slots() {
    for (proxy::quota_slot slot = 0; slot < proxy::quota_slot_count; ++slot) {
        const bool owns = claims_.owns(slot);
        if (owns == owner_.owns(slot)) {
            continue;
        }
        if (owns) {
            owner_.acquire(handlers_.now(), slot);
        } else {
            owner_.release(slot);
        }
        log(core::log_event::level::info, owns ? "quota_slot_acquired" : "quota_slot_lost",
            {{"slot", std::to_string(slot)}});
    }
}

void quota_exchange::send_claims() {
    for (const proxy::quota_claims::claim& claim : claims_.next_claims(handlers_.now())) {
        registry_.write(claim.call,
                        [this, claim, sent_in = era_](const proxy::write_outcome& outcome) {
                            if (sent_in != era_) {
                                return;
                            }
                            claims_.on_written(handlers_.now(), claim, outcome);
                            if (outcome.status != proxy::registry_status::done &&
                                outcome.status != proxy::registry_status::conflict) {
                                log(core::log_event::level::warning, "quota_claim_failed",
                                    {{"slot", std::to_string(claim.slot)}});
                            }
                            update_owned_slots();
                        });
    }
}

void quota_exchange::send_release() {
    const std::optional<proxy::quota_claims::release> release =
        claims_.next_release(handlers_.now());
    if (!release.has_value()) {
        return;
    }
    // Another host may grant as soon as the item is gone, so this one stops first.
    update_owned_slots();
    registry_.write(release->call,
                    [this, sent = *release, sent_in = era_](const proxy::write_outcome& outcome) {
                        if (sent_in == era_) {
                            claims_.on_released(sent, outcome);
                        }
                    });
}

void quota_exchange::update_floor() {
    const proxy::quota_floor floor = floor_hosts_.floor(handlers_.now());
    if (floor != floor_) {
        floor_ = floor;
        handlers_.on_event(proxy::quota_floor_changed{floor});
    }
}

void quota_exchange::perform(const proxy::request_quota& action) {
    const proxy::quota_request& request = action.request;
    const std::optional<core::host_id> owner = claims_.owner_of(request.slot);
    if (owner == host_) {
        post_event(proxy::quota_answered{grant_locally(request)});
        return;
    }
    const link::channel_id channel = owner.has_value() ? router_.channel_to(*owner) : 0;
    if (channel == 0) {
        post_event(proxy::quota_owner_unreachable{request.number});
        return;
    }
    link::frame message;
    link::v1::QuotaRequest& body = *message.mutable_quota_request();
    body.set_number(request.number);
    body.set_organisation(request.organisation.value);
    body.set_slot(request.slot);
    body.set_wanted(request.wanted);
    outstanding_[request.number] = channel;
    router_.change_expected_answers(channel, 1);
    router_.send(channel, message);
}

void quota_exchange::post_event(proxy::event input) {
    // The engine is processing the event that led here.
    boost::asio::post(context_, [this, input = std::move(input)] { handlers_.on_event(input); });
}

proxy::quota_grant quota_exchange::grant_locally(const proxy::quota_request& request) {
    const proxy::quota_owner::answer answer =
        owner_.grant(handlers_.now(), request.organisation, request.slot, request.wanted);
    handlers_.count({"lovagemoor_quota_requests_total",
                     {{"result", answer.granted > 0 ? "granted"
                                 : answer.not_owner ? "not_owner"
                                                    : "refused"}}});
    if (answer.granted > 0) {
        handlers_.count(
            {"lovagemoor_quota_granted_total", {}, static_cast<double>(answer.granted)});
    }
    return {request.number, answer.granted, settings_.grant_validity, answer.retry_after,
            answer.not_owner};
}

void quota_exchange::on_request(link::channel_id channel, const link::frame& message) {
    const link::v1::QuotaRequest& body = message.quota_request();
    const proxy::quota_grant grant = grant_locally(
        {body.number(), core::organisation_id{body.organisation()}, body.slot(), body.wanted()});
    link::frame answer;
    link::v1::QuotaGrant& granted = *answer.mutable_quota_grant();
    granted.set_number(grant.number);
    granted.set_granted(grant.granted);
    granted.set_valid_ms(internal::milliseconds_of(grant.valid_for));
    granted.set_retry_ms(internal::milliseconds_of(grant.retry_after));
    granted.set_not_owner(grant.not_owner);
    router_.send(channel, answer);
    router_.flush();
}

void quota_exchange::on_grant(link::channel_id channel, const link::frame& message) {
    const link::v1::QuotaGrant& body = message.quota_grant();
    const auto sent = outstanding_.find(body.number());
    if (sent == outstanding_.end() || sent->second != channel) {
        return;
    }
    outstanding_.erase(sent);
    router_.change_expected_answers(channel, -1);
    handlers_.on_event(proxy::quota_answered{
        {body.number(), body.granted(), std::chrono::milliseconds{body.valid_ms()},
         std::chrono::milliseconds{body.retry_ms()}, body.not_owner()}});
}

void quota_exchange::on_channel_closed(link::channel_id channel) {
    std::vector<std::uint64_t> lost;
    for (const auto& [number, used] : outstanding_) {
        if (used == channel) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        outstanding_.erase(number);
        handlers_.on_event(proxy::quota_owner_unreachable{number});
    }
}

void quota_exchange::stop() {
    if (stopped_) {
        return;
    }
    stopped_ = true;
    // Another host may grant as soon as the items are gone, so this one stops first.
    const std::optional<proxy::write_items> removal = claims_.removal();
    claims_.stop();
    update_owned_slots();
    if (removal.has_value()) {
        registry_.write(*removal, [](const proxy::write_outcome& /*outcome*/) {
            // Without an answer, the items end with the lease.
        });
    }
}

void quota_exchange::log(core::log_event::level severity, const char* name,
                         std::vector<std::pair<std::string, std::string>> fields) {
    handlers_.log(core::log_event{severity, name, std::move(fields)});
}

} // namespace lovagemoor
