#pragma once

#include "link_router.hpp"

#include <lovagemoor/platform_adapter/registry_client.hpp>
#include <lovagemoor/proxy/relay/registry_source.hpp>
#include <lovagemoor/proxy/relay/value_codec.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lovagemoor {

/// @brief Makes the calls of a host that read the registry: at the registry itself or over the link
/// through a relay. Answers such calls of other hosts if this host is a relay.
class registry_relay {
public:
    using purpose = proxy::registry_source::purpose;
    using origin = proxy::registry_source::origin;
    using page_handler = proxy::registry_source::page_handler;
    using changes_handler = proxy::registry_source::changes_handler;

    struct configuration {
        core::host_id host;
        core::domain_id domain;
        /// Key of the configuration.
        std::string proved_prefix;
        /// Prefixes whose calls may go through a relay.
        std::set<std::string> relayed_prefixes;
        proxy::relay_settings settings;
    };

    struct hooks {
        std::function<core::time_point()> now;
        std::function<std::optional<proxy::registry_era>()> current_era;
        std::function<bool(const std::optional<proxy::registry_era>&)> accept_answer;
        std::function<void(const core::count_metric&)> count;
        std::function<void(const core::log_event&)> log;
    };

    /// @param router Null if the link is not configured: all calls go to the registry.
    registry_relay(platform_adapter::registry_client& client, link_router* router,
                   configuration parameters, hooks functions);

    void list(const proxy::list_items& made, purpose reason, page_handler done);
    void watch(const proxy::watch_items& made, purpose reason, changes_handler done);

    void set_peers(const std::vector<proxy::link_peer>& peers);

    /// @brief The registry has come back from an older copy of its items. Handlers of calls through
    /// relays are not called any more.
    void on_restored();

    /// @return True if a document of this size must not be read by many hosts at once.
    [[nodiscard]] bool is_large(std::size_t bytes) const;

    /// @brief Makes calls that are due. To be called several times a second.
    void poll();

    /// @param configured Interval of proofs that the deployment requires; empty for none.
    /// @return Time between proofs of the configuration. Empty if none is needed.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    proof_interval(const std::optional<std::chrono::milliseconds>& configured) const;

private:
    /// @brief A channel on which requests were sent.
    struct relay_channel {
        link::channel_id channel = 0;
        int outstanding = 0;
    };

    /// @brief A request of another host that has not been answered.
    struct received_request {
        link::channel_id channel = 0;
        std::uint64_t number = 0;

        friend bool operator<(const received_request& left, const received_request& right) {
            return std::tie(left.channel, left.number) < std::tie(right.channel, right.number);
        }
    };

    /// @brief What the sender of a request can decode.
    struct accepted_values {
        bool encoded = false;
        std::vector<proxy::held_value> held;
    };

    [[nodiscard]] proxy::registry_source::hooks source_hooks(hooks functions);
    void receive_frames();
    [[nodiscard]] bool send_request(const core::host_id& relay,
                                    const proxy::relay_request& request);
    void settle(const core::host_id& relay);
    template <typename Message>
    void on_request(link::channel_id channel, const Message& body);
    /// @brief Notes a value from which others may be sent, or received, as differences.
    void keep_value(const proxy::registry_item& item);
    void send_answer(link::channel_id channel, const proxy::relay_answer& answer);
    void on_answer(link::channel_id channel, const proxy::relay_answer& answer);
    void on_closed(link::channel_id channel);
    /// @return Empty if no request was sent on the channel.
    [[nodiscard]] std::optional<core::host_id> relay_on(link::channel_id channel) const;

    platform_adapter::registry_client& client_;
    link_router* router_;
    std::map<core::host_id, relay_channel> channels_;
    std::map<received_request, accepted_values> received_;
    proxy::value_codec values_;
    std::string proved_prefix_;
    std::set<std::string> relayed_prefixes_;
    proxy::registry_source source_;
};

} // namespace lovagemoor
