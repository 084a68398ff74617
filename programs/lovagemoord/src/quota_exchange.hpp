#pragma once

#include "link_router.hpp"

#include <lovagemoor/core/telemetry_event.hpp>
#include <lovagemoor/platform_adapter/registry_client.hpp>
#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/quota/quota_claims.hpp>
#include <lovagemoor/proxy/quota/quota_client.hpp>
#include <lovagemoor/proxy/quota/quota_floor.hpp>
#include <lovagemoor/proxy/quota/quota_owner.hpp>
#include <lovagemoor/proxy/registry/configuration.hpp>
#include <lovagemoor/proxy/registry/registry_follower.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor {

/// @brief Functions that a quota_exchange calls.
struct quota_exchange_handlers {
    /// Time of the clock that also advances while the machine is suspended.
    std::function<core::time_point()> now;
    /// Passes an event to the engine.
    std::function<void(const proxy::event&)> on_event;
    std::function<void(const core::log_event&)> log;
    std::function<void(const core::count_metric&)> count;
};

/// @brief Carries requests for tokens to the owners of quota slots, claims free slots and answers
/// the requests of other hosts for the slots of this one.
class quota_exchange {
public:
    /// @param lease_duration Duration of the lease of the host's registration.
    quota_exchange(boost::asio::io_context& context, link_router& router,
                   platform_adapter::registry_client& registry, core::host_id host,
                   proxy::quota_settings settings, std::chrono::milliseconds lease_duration,
                   quota_exchange_handlers handlers);

    void configure(const proxy::configuration& configuration);

    /// @brief Uses the era and the registration's lease as they are now, makes due claims and
    /// updates the floor. Must be called regularly and after each change of the era.
    /// @param lease 0 if the host has none.
    void update(const std::optional<proxy::registry_era>& era, proxy::lease_id lease);

    /// @param sent Time at which the call that granted or renewed the lease was sent.
    void on_lease_renewed(core::time_point sent);
    void on_lease_lost();

    /// @param hosts The complete list of registered hosts.
    void on_hosts(const std::vector<core::host_id>& hosts);

    /// @brief Uses changes of the slots' items.
    void apply(const proxy::registry_follower::update& update);

    void perform(const proxy::request_quota& action);

    /// @brief Gives up the slots of this host, which is stopping.
    void stop();

private:
    /// @brief Has the owner grant from the slots that this host owns.
    void update_owned_slots();
    void send_claims();
    void send_release();
    void update_floor();
    void post_event(proxy::event input);
    [[nodiscard]] proxy::quota_grant grant_locally(const proxy::quota_request& request);
    void on_request(link::channel_id channel, const link::frame& message);
    void on_grant(link::channel_id channel, const link::frame& message);
    void on_channel_closed(link::channel_id channel);
    void log(core::log_event::level severity, const char* name,
             std::vector<std::pair<std::string, std::string>> fields);

    boost::asio::io_context& context_;
    link_router& router_;
    platform_adapter::registry_client& registry_;
    core::host_id host_;
    proxy::quota_settings settings_;
    quota_exchange_handlers handlers_;
    proxy::quota_owner owner_;
    proxy::quota_claims claims_;
    proxy::quota_floor_hosts floor_hosts_;
    proxy::quota_floor floor_;
    std::optional<proxy::registry_era> era_;
    std::int64_t configuration_version_ = -1;
    /// Channel of each request without an answer.
    std::map<std::uint64_t, link::channel_id> outstanding_;
    bool stopped_ = false;
};

} // namespace lovagemoor
