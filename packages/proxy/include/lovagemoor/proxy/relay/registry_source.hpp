#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/link/link_peer.hpp>
#include <lovagemoor/proxy/registry/registry_call.hpp>
#include <lovagemoor/proxy/relay/relay_message.hpp>
#include <lovagemoor/proxy/relay/relay_selector.hpp>
#include <lovagemoor/proxy/relay/relay_service.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Makes the calls that read the registry: at the registry or through a relay.
///
/// A call whose relay fails is repeated at the registry, so its handler only sees failures of the
/// registry. On a relay, the answers also serve the calls of other hosts.
///
/// The configuration may be large. A call that may return it waits for a relay before it goes to
/// the registry, so that the hosts of a region do not read it over a small link all at once.
/// Watches move to a relay as soon as one serves.
class registry_source {
public:
    enum class purpose : std::uint8_t {
        /// Keeps items up to date.
        follow,
        /// Checks a pending watch.
        check,
        /// Proves the configuration.
        prove,
        /// Fills what a relay passes on.
        refresh,
    };

    /// @brief Where an answer came from.
    struct origin {
        bool relayed = false;
        /// Age, at the time of the sending of the call, of the state that the answer proves. Zero
        /// for an answer of the registry.
        std::chrono::milliseconds proof_age{0};
    };

    using page_handler = std::function<void(const item_page&, const origin&)>;
    using changes_handler = std::function<void(const item_changes&, const origin&)>;
    using call = std::variant<list_items, watch_items>;

    struct hooks {
        std::function<core::time_point()> now;
        std::function<std::optional<registry_era>()> current_era;
        /// Assigns an answer of a relay to an era.
        /// @return False if the answer must be ignored.
        std::function<bool(const std::optional<registry_era>&)> accept_answer;
        /// @name Calls to the registry. Handlers must be called after the function has returned.
        /// @{
        std::function<void(const list_items&, std::function<void(const item_page&)>)> list;
        /// @return Abandons the watch unless its answer is arriving: returns true, and the handler
        /// is not called. Empty if it cannot be abandoned.
        std::function<std::function<bool()>(const watch_items&,
                                            std::function<void(const item_changes&)>)>
            watch;
        /// @}
        /// @return False if the relay is not known.
        std::function<bool(const core::host_id& relay, const relay_request&)> send_request;
        /// A request is not outstanding any more.
        std::function<void(const core::host_id& relay)> on_settled;
        std::function<void(relay_service::requester, const relay_answer&)> send_answer;
        /// A call is made, for metrics.
        std::function<void(const call&, purpose, bool relayed)> on_call;
        /// An answer has returned an item, for logs and metrics.
        std::function<void(const registry_item&, purpose, bool relayed)> on_item_read;
        /// A relay failed, for logs and metrics.
        std::function<void(const core::host_id& relay, const char* reason,
                           std::chrono::milliseconds proof_age)>
            on_relay_failure;
    };

    /// @param proved_prefix Key of the configuration.
    /// @param relayed_prefixes Prefixes whose calls may go through a relay.
    registry_source(core::host_id host, core::domain_id domain, std::string proved_prefix,
                    std::set<std::string> relayed_prefixes, relay_settings settings,
                    hooks functions);

    /// @brief Makes a call. One to follow items ends an earlier watch that follows them, whose
    /// handler may not be called any more.
    void list(const list_items& made, purpose reason, page_handler done);
    void watch(const watch_items& made, purpose reason, changes_handler done);

    void on_peers(const std::vector<link_peer>& peers);

    /// @brief The registry has come back from an older copy of its items. Calls through relays are
    /// abandoned; their handlers are not called any more.
    void on_restored();

    /// @brief Passes on an answer of a relay.
    void on_answer(const core::host_id& relay, const relay_answer& answer);
    /// @brief The channel to a relay has ended.
    void on_relay_lost(const core::host_id& relay);
    void on_request(relay_service::requester sender, const relay_request& request);
    void on_requester_lost(relay_service::requester sender);

    /// @brief Makes calls that are due and ends those that have waited long enough. To be called
    /// several times a second.
    void poll();

    /// @param configured Interval of proofs that the deployment requires; empty for none.
    /// @return Time between proofs of the configuration. Empty if none is needed. Zero while calls
    /// wait for a relay's proof.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    proof_interval(const std::optional<std::chrono::milliseconds>& configured) const;

    [[nodiscard]] const relay_selector& selector() const noexcept { return selector_; }

private:
    struct pending_call {
        call made;
        purpose reason = purpose::follow;
        std::variant<page_handler, changes_handler> done;
        /// Time at which it stops waiting for a relay, if it does.
        std::optional<core::time_point> direct_at{};
    };

    struct relayed_call {
        pending_call pending;
        core::host_id relay;
        core::time_point deadline;
    };

    /// @brief A call to the registry that is not made yet.
    struct delayed_call {
        pending_call pending;
        core::time_point at;
        /// It is sent to a relay instead if one serves first.
        bool waits_for_relay = false;
    };

    /// @brief A watch that waits at the registry and may move to a relay.
    struct direct_watch {
        pending_call pending;
        std::function<bool()> abandon;
    };

    /// @brief Abandons the watch that a follower has given up: it would return each change again.
    void abandon_watch(const std::string& prefix);
    void start(pending_call pending);
    /// @return False if no relay may answer the call. The call is moved from otherwise.
    [[nodiscard]] bool send_to_relay(pending_call& pending);
    /// @return True if the call may return a large document and a relay may answer it soon.
    [[nodiscard]] bool may_wait_for_relay(const pending_call& pending) const;
    void wait_for_relay(pending_call pending);
    /// @brief Moves watches that wait elsewhere to the relay that serves now.
    void move_watches();
    void start_delayed();
    void call_registry(pending_call pending);
    void call_registry_now(pending_call pending);
    void note_read(const registry_item& item, purpose reason, bool relayed);
    [[nodiscard]] std::set<core::host_id> relays_waited_for() const;
    void finish(const pending_call& pending, const item_page& page, const origin& source);
    void finish(const pending_call& pending, const item_changes& changes, const origin& source);
    /// @return True if the answer is not older than what this host knows already.
    [[nodiscard]] bool is_acceptable(const pending_call& pending, const relay_answer& answer) const;
    /// @param proof_age Age of its proof as the relay stated it; zero if it did not.
    void fail_relay(const core::host_id& relay, const char* reason,
                    std::chrono::milliseconds proof_age = {});
    /// @brief Repeats the calls that wait for a relay at the registry.
    void leave_relay(const core::host_id& relay);

    [[nodiscard]] registry_revision& known_revision(const std::string& prefix) {
        return known_revisions_[prefix];
    }

    /// Key of the configuration.
    std::string document_prefix_;
    std::set<std::string> relayed_prefixes_;
    hooks hooks_;
    relay_selector selector_;
    relay_service service_;
    /// Counts returns of the registry.
    std::uint64_t generation_ = 0;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, relayed_call> relayed_;
    std::vector<delayed_call> delayed_;
    std::map<std::uint64_t, direct_watch> direct_watches_;
    /// Size of the configuration that was last read; empty if none was.
    std::optional<std::size_t> document_bytes_;
    /// Highest revision that an answer has shown, by prefix. Lists of relays below it are not used,
    /// as they would take back what this host knows.
    std::map<std::string, registry_revision> known_revisions_;
};

} // namespace lovagemoor::proxy
