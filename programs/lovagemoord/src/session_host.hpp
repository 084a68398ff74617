#pragma once

#include "burst_counter.hpp"
#include "connection_lending.hpp"
#include "link_router.hpp"
#include "quota_exchange.hpp"
#include "registry_relay.hpp"
#include "traffic_report.hpp"

#include <lovagemoor/gateway/caller_listener.hpp>
#include <lovagemoor/gateway/http_server.hpp>
#include <lovagemoor/gateway/target_connections.hpp>
#include <lovagemoor/platform_adapter/registry_client.hpp>
#include <lovagemoor/proxy/engine/session_engine.hpp>
#include <lovagemoor/proxy/promotion/promotion_lock_claim.hpp>
#include <lovagemoor/proxy/registry/configuration_proof.hpp>
#include <lovagemoor/proxy/registry/lease_keeper.hpp>
#include <lovagemoor/proxy/registry/registry_era_tracker.hpp>
#include <lovagemoor/proxy/registry/registry_follower.hpp>
#include <lovagemoor/proxy/registry/revision_window.hpp>
#include <lovagemoor/settings/session_settings.hpp>
#include <lovagemoor/telemetry/logger.hpp>
#include <lovagemoor/telemetry/metrics.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor {

/// @brief A host that serves statement sessions on the platform. Runs the engine and its drivers on
/// one thread.
class session_host {
public:
    /// @param settings_file File that is read again on SIGHUP.
    /// @throws boost::system::system_error when an address cannot be bound.
    session_host(const settings::session_settings& settings, std::string settings_file);

    /// @brief Serves sessions until the process has been asked to stop and all sessions have ended.
    void run();

private:
    void handle(const proxy::event& input);
    void perform(const proxy::follow_promotions& action);
    void perform(const proxy::acquire_promotion_lock& action);
    void write_lock_claim(proxy::promotion_lock_claim::claim_number number);
    void perform(const proxy::publish_demotion& action);
    void perform(const proxy::restore_demotion& action);
    void perform(const proxy::list_demotions& action);
    void perform(const proxy::contact_registry& action);
    void perform(const proxy::promote_target& action);
    void perform(const proxy::publish_suspicion& action);
    void perform(const proxy::request_quota& action);
    void perform(const proxy::withdraw_suspicion& action);
    void dispatch(const proxy::action& action);

    /// @brief Performs an action on a connection that is borrowed or of this host's own.
    template <typename Action>
    void perform_at_target(const Action& action) {
        if (lending_.has_value() && lending_->borrowed(action.connection)) {
            lending_->perform(action);
        } else {
            targets_.perform(action);
        }
    }

    /// @brief Ends the process once all answers have been sent and closed sessions have ended.
    void stop_when_sent();
    void schedule_timer();
    void wait_for_signals();
    void reload();

    /// @brief Assigns an answer of the registry to an era. The first answer of a newer era starts
    /// all that rests on the registry's items afresh.
    /// @return False if the answer must be ignored.
    [[nodiscard]] bool accept_answer(const std::optional<proxy::registry_era>& era);
    void restart_after_restoration();
    void update_lock_era();

    void run_follower(const std::shared_ptr<proxy::registry_follower>& follower);
    /// @return The followers that watch changes. Pointers to null where none is active.
    [[nodiscard]] std::array<std::shared_ptr<proxy::registry_follower>*, 5> watching_followers();
    void restart_watches();
    /// @brief Has pending watches checked against lists that are known to be recent for a while.
    void note_disturbance();
    /// @brief Checks pending watches whose answers may have been lost.
    void check_watches();
    void finish_check(const std::shared_ptr<proxy::registry_follower>& checked,
                      const proxy::item_page& page);
    void handle_connection_change(const proxy::registry_follower& follower, bool was_connected);
    void apply_update(const proxy::registry_follower& follower,
                      const proxy::registry_follower::update& update);
    void apply_configuration(const proxy::item_change& change);
    void apply_targets(const proxy::registry_follower::update& update);
    void apply_hosts(const proxy::registry_follower::update& update);
    void apply_demotions(const proxy::registry_follower::update& update);
    void apply_promotions(const proxy::registry_follower::update& update);
    void apply_promotion_lock(const proxy::item_change& change);
    /// @brief Ends the pending claim of the promotion lock successfully.
    /// @param revision Revision of the lock's item.
    void finish_lock_claim(proxy::registry_revision revision);
    void finish_lock_claim(const proxy::promotion_lock_answered& result);
    void log_token_out_of_bounds(proxy::registry_revision revision);
    void maintain_registration();
    void open_link();
    /// @brief A host of a failure domain has sent something.
    void on_peer_heard(const core::domain_id& domain);
    /// @brief Reads the list of hosts less often once those that started together are known.
    void slow_down_hosts_polls();
    /// @brief Starts to enforce the quotas of organisations.
    /// @pre The link is open.
    void open_quota_exchange();
    void update_quota_exchange();
    [[nodiscard]] registry_relay::hooks relay_hooks();
    /// @brief Makes the next call that proves the configuration, if keys may be withdrawn or hosts
    /// pass on answers of the registry.
    void prove_configuration();
    /// @brief Continues the watch of the configuration if its answer to a change that the last
    /// proof returned is lost.
    void resume_configuration_watch();
    /// @return Interval of proofs that this host itself needs; empty for none.
    [[nodiscard]] std::optional<std::chrono::milliseconds> required_proof_interval() const;
    void read_configuration();
    void poll_registry();
    void report_traffic();
    [[nodiscard]] gateway::http_server::response
    answer_request(const gateway::http_server::request& request) const;
    [[nodiscard]] gateway::caller_accounting make_caller_accounting();
    void on_caller_closed(gateway::caller_close_reason reason);
    void on_statements_discarded(const gateway::discarded_statements& discarded);
    void log_rejected_item(const char* name, const proxy::registry_item& item);
    void log(core::log_event::level severity, const char* name,
             std::vector<std::pair<std::string, std::string>> fields);

    settings::session_settings settings_;
    std::string settings_file_;
    boost::asio::io_context context_{1};
    telemetry::logger logger_;
    telemetry::metrics metrics_;
    proxy::session_engine engine_;
    gateway::caller_listener callers_;
    gateway::target_connections targets_;
    gateway::http_server ready_server_;
    std::optional<gateway::http_server> metrics_server_;
    proxy::registry_era_tracker registry_eras_;
    proxy::revision_window recent_revisions_;
    platform_adapter::registry_client registry_client_;
    std::optional<platform_adapter::promotion_client> promotion_client_;
    /// Empty if hosts do not exchange messages.
    std::optional<link_router> link_router_;
    /// Empty if hosts do not exchange messages.
    std::optional<connection_lending> lending_;
    /// Makes all calls that read the registry. Set for the lifetime of the host.
    std::optional<registry_relay> registry_relay_;
    std::shared_ptr<proxy::registry_follower> configuration_follower_;
    proxy::configuration_proof configuration_proof_;
    /// Change that the last proof returned, without its value. Empty if it returned none.
    std::optional<proxy::item_change> proved_change_;

    /// @brief A configuration document that was applied.
    struct applied_document {
        proxy::registry_revision revision = 0;
        std::size_t bytes = 0;
        std::size_t hash = 0;

        friend bool operator==(const applied_document&, const applied_document&) = default;
    };

    applied_document applied_configuration_;
    std::shared_ptr<proxy::registry_follower> targets_follower_;
    std::shared_ptr<proxy::registry_follower> hosts_follower_;
    /// Null until the engine asks for the demotions.
    std::shared_ptr<proxy::registry_follower> demotions_follower_;
    /// Null while the engine does not need to follow promotions.
    std::shared_ptr<proxy::registry_follower> promotion_follower_;
    /// Null if quotas are not enforced.
    std::shared_ptr<proxy::registry_follower> quota_follower_;
    proxy::lease_keeper registration_;
    boost::asio::steady_timer engine_timer_;
    boost::asio::steady_timer registry_timer_;
    boost::asio::signal_set signals_;
    burst_counter caller_closes_;
    traffic_report traffic_;
    /// Time of the last contact with a host of another failure domain that the engine was told of.
    core::time_point peer_heard_at_;
    bool ready_ = false;
    core::time_point started_at_;
    bool hosts_polls_slowed_ = false;
    /// The list of hosts was read at least once.
    bool hosts_listed_ = false;
    std::optional<core::time_point> stop_requested_at_;
    proxy::promotion_lock_claim lock_claim_;
    /// Empty if quotas are not enforced.
    std::optional<quota_exchange> quota_exchange_;
};

} // namespace lovagemoor
