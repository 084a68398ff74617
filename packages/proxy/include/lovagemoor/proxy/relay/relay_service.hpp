#pragma once

#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>
#include <lovagemoor/proxy/relay/registry_cache.hpp>
#include <lovagemoor/proxy/relay/relay_message.hpp>
#include <lovagemoor/proxy/relay/relay_selector.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Answers calls of other hosts from what this host has read from the registry.
class relay_service {
public:
    /// Identifies the sender of a request, for example its channel.
    using requester = std::uint64_t;

    struct hooks {
        std::function<core::time_point()> now;
        std::function<std::optional<registry_era>()> current_era;
        std::function<void(requester, const relay_answer&)> answer;
        /// Lists items of the registry. The handler must be called after the function has returned.
        std::function<void(const list_items&, std::function<void(const item_page&)>)> list;
    };

    /// @param proved_prefix Key of the configuration, whose proofs show that this host reaches the
    /// registry.
    relay_service(std::string proved_prefix, relay_settings settings, hooks functions);

    /// @brief Sets whether this host is a relay.
    void set_active(bool active);

    /// @brief This host follows the items below a prefix.
    /// @param polled It lists them, which may be stale, instead of watching them.
    void on_followed(const std::string& prefix, bool polled);

    /// @name Answers of the registry to this host
    /// @{

    /// @param sent Time at which the call was sent.
    void on_page(core::time_point sent, const list_items& call, const item_page& page);
    void on_changes(core::time_point sent, const watch_items& call, const item_changes& changes);

    /// @brief The registry has come back from an older copy of its items.
    void on_restored();
    /// @}

    void on_request(requester sender, const relay_request& request);
    void on_requester_lost(requester sender);

    /// @brief Ends what has waited long enough. To be called several times a second.
    void poll();

    /// @return True if this host must keep its proof of the configuration young, because other
    /// hosts ask for it.
    [[nodiscard]] bool proof_wanted() const;

    /// @return Time as of which the configuration was last proved.
    [[nodiscard]] std::optional<core::time_point> proved_as_of() const;

private:
    struct waiting_request {
        requester sender = 0;
        relay_request request;
        core::time_point until;
    };

    struct watcher {
        requester sender = 0;
        std::uint64_t number = 0;
        std::string prefix;
    };

    struct followed_items {
        bool polled = false;
        registry_cache cache;
        bool refreshing = false;
        /// Requests that wait for the refresh.
        std::vector<waiting_request> waiting;
    };

    /// Time after the last request for which proofs are kept young. Requesters ask for one each
    /// second.
    static constexpr std::chrono::milliseconds proof_retention{3000};
    /// Time that a request waits for a proof. It is less than the time limit of the requester.
    static constexpr std::chrono::milliseconds proof_wait{500};
    /// Age of a polled list above which the next request has it listed again. Requesters poll every
    /// few seconds, and this age comes on top.
    static constexpr std::chrono::milliseconds polled_age_max{2000};
    /// Limit on pending watches. A deployment has a few hundred hosts with a few watches each.
    static constexpr std::size_t max_watches = 4096;

    [[nodiscard]] bool has_recent_proof() const;
    [[nodiscard]] std::chrono::milliseconds proof_age() const;
    void handle(const waiting_request& waiting, bool may_refresh);
    void answer_list(const waiting_request& waiting, followed_items& items, bool may_refresh);
    void answer_watch(const waiting_request& waiting, followed_items& items, bool may_refresh);
    void refresh(const std::string& prefix);
    void list_page(const list_items& call);
    void end_refresh(const std::string& prefix);
    /// @brief Answers watches and requests for which the last answer of the registry is enough.
    void deliver(const std::string& prefix);
    void retry_unproved();
    void send(requester sender, std::uint64_t number, item_page page);
    void send(requester sender, std::uint64_t number, item_changes changes);
    void send(requester sender, relay_answer answer);
    void refuse(requester sender, const relay_request& request, relay_refusal reason);
    void refuse_watches(registry_cache& cache, relay_refusal reason);

    std::string proved_prefix_;
    relay_settings settings_;
    hooks hooks_;
    bool active_ = false;
    /// Counts returns of the registry, so that late answers to refreshes are ignored.
    std::uint64_t generation_ = 0;
    std::optional<core::time_point> asked_at_;
    /// Time since when this host must keep its proof young.
    core::time_point proof_wanted_since_;
    std::map<std::string, followed_items> followed_;
    /// Requests that wait for a proof.
    std::vector<waiting_request> unproved_;
    registry_cache::ticket last_ticket_ = 0;
    std::map<registry_cache::ticket, watcher> watchers_;
};

} // namespace lovagemoor::proxy
