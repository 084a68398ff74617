#pragma once

#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/engine/action.hpp>
#include <lovagemoor/proxy/engine/event.hpp>
#include <lovagemoor/proxy/engine/session_engine_settings.hpp>
#include <lovagemoor/proxy/lending/holder_avoidance.hpp>
#include <lovagemoor/proxy/lending/holder_ranking.hpp>
#include <lovagemoor/proxy/overload/wait_queue.hpp>
#include <lovagemoor/proxy/pool/connection_share.hpp>
#include <lovagemoor/proxy/pool/target_pool.hpp>
#include <lovagemoor/proxy/promotion/failover_coordinator.hpp>
#include <lovagemoor/proxy/quota/quota_client.hpp>
#include <lovagemoor/proxy/registry/copied_entries.hpp>
#include <lovagemoor/proxy/registry/departed_targets.hpp>
#include <lovagemoor/proxy/routing/primary_checks.hpp>
#include <lovagemoor/proxy/routing/primary_view.hpp>
#include <lovagemoor/proxy/session/session.hpp>
#include <lovagemoor/proxy/session/session_memory.hpp>

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

/// @brief Serves callers' sessions over shared connections to targets.
///
/// Deterministic: it maps events and the time passed by the driver to actions. It reads no clock
/// and uses no randomness.
class session_engine {
public:
    explicit session_engine(session_engine_settings settings);

    /// @param now Time from a clock that keeps counting while the machine is suspended.
    [[nodiscard]] action_list handle(core::time_point now, const event& input);

    /// @return Time at which the driver must call handle() with timer_expired.
    [[nodiscard]] core::time_point next_wakeup() const;

    /// @return What is held for the session; nothing for an unknown one.
    [[nodiscard]] session_memory memory_of(session_id id) const;

private:
    /// @brief State of a service.
    struct service_state {
        primary_view view;
        primary_checks checks;
        /// Time of the last reply from the primary.
        core::time_point primary_contact;
        /// Time of the first failure of the primary since its last reply.
        std::optional<core::time_point> failing_since;
        core::time_point last_use;
        core::time_point last_probe;
        /// Sessions with a waiting request, by priority and arrival.
        std::vector<session_id> waiting;
        /// Time at which the lease of the primary was last found to have lapsed. Demotions
        /// announced before may not have reached this host until it lists them again.
        core::time_point lease_lapsed_at;
        /// Time since which no target is known to be the primary.
        std::optional<core::time_point> missing_since;
        /// Hosts that report a lost primary, with the target that they consider the primary. The
        /// target is empty if the host knows none.
        std::map<core::host_id, core::target_id> reporters;
        /// Hosts whose reports count towards a failover.
        std::set<core::host_id> observers;
        /// Version of the host list from which the observers were chosen.
        std::uint64_t observers_version = 0;
        /// Moving average of the execution time of a statement.
        core::duration mean_service_time = std::chrono::milliseconds{20};
        /// Moving average of the time between completions while other requests wait.
        core::duration mean_completion_interval{0};
        /// Time of the last completion while other requests waited.
        core::time_point last_completion;
        bool suspicion_published = false;
        /// The registry has come back from an older copy since the report was published.
        bool report_may_be_lost = false;
        /// Earliest time at which a failed report is published again.
        core::time_point publish_after;
        /// Time at which a report that may still stand in the registry is withdrawn again.
        std::optional<core::time_point> withdraw_at;
        /// Time of the last withdrawal of a report of this host.
        std::optional<core::time_point> withdrawn_at;
        /// The announced demotion of the highest term that this host knows.
        std::optional<primary_demotion> demotion;
        /// Time at which this host announces the demotion again, since the registry has lost it.
        std::optional<core::time_point> restore_demotion_at;
        /// Revision of the earlier demotion that the registry lists instead. 0 if it lists none.
        std::uint64_t listed_demotion_revision = 0;
    };

    /// @brief For whom and for how long a connection is borrowed.
    struct loan_terms {
        core::organisation_id organisation;
        /// The connection is only used for checks of the target.
        bool any_organisation = false;
        /// Time for which the request may wait at the holder.
        std::chrono::milliseconds wait{0};
        unsigned priority = 0;
    };

    /// @brief State of another host.
    struct host_state {
        core::domain_id domain;
        /// Time at which the registry removed the host. Empty while the host is listed.
        std::optional<core::time_point> removed_at;
    };

    /// @brief A status command, or one that is answered like it, that waits for an idle connection.
    struct pending_inspection {
        core::target_id target;
        command_kind kind = command_kind::status;
        /// Argument of hold_replication and step_down.
        core::term_number term = 0;
        core::time_point until;
    };

    // Event handlers, session_engine.cpp
    void on(const session_opened& input);
    void on(const statement_received& input);
    void on(const session_closed& input);
    void on(const session_drained& input);
    void on(const session_output_changed& input);
    void on(const target_connected& input);
    void on(const loan_queued& input);
    void on(const target_replied& input);
    void on(const target_disconnected& input);
    void on(const configuration_changed& input);
    void on(const configuration_confirmed& input);
    void on(const targets_listed& input);
    void on(const target_changed& input);
    void on(const target_removed& input);
    void on(const hosts_listed& input);
    void on(const link_peers_listed& input);
    void on(const peer_contacted& input);
    void on(const suspicions_listed& input);
    void on(const suspicion_reported& input);
    void on(const suspicion_withdrawn& input);
    void on(const suspicion_publish_failed& input);
    void on(const suspicion_withdrawal_failed& input);
    void on(const registry_reachable& input);
    void on(const promotion_lock_answered& input);
    void on(const promotion_lock_taken& input);
    void on(const promotion_lock_released& input);
    void on(const promotion_answered& input);
    void on(const demotion_announced& input);
    void on(const demotions_listed& input);
    void on(const registry_contacted& input);
    void on(const registry_restored& input);
    void on(const demotion_publish_answered& input);
    void on(const demotion_restore_answered& input);
    void on(const quota_answered& input);
    void on(const quota_owner_unreachable& input);
    void on(const quota_floor_changed& input);
    void on(const stop_requested& input);
    void on(const timer_expired& input);

    // Sessions, session_engine_sessions.cpp
    void start_statement(session& caller, const statement& work);
    /// @brief Takes up the statements that wait in sessions whose request has ended. Runs once each
    /// event has been processed, so that no request starts while another one is being ended.
    void resume_sessions();
    void process_backlog(session_id id);
    /// @return True if the statement was answered because this host stops.
    bool refuse_while_stopping(session& caller, const statement& work);
    bool answer_locally(session& caller, const statement& work);
    /// @brief Answers SET, PREPARE and DEALLOC.
    void change_session(session& caller, const statement& work);
    /// @brief Accounts for a value or shape of a session.
    /// @param replaced Size of the entry that it replaces.
    /// @return False, and an error is answered, if the session would keep too much.
    [[nodiscard]] bool reserve(session& caller, std::size_t replaced, std::size_t added);
    void begin_transaction(session& caller, const statement& work);
    void roll_back(session& caller);
    void detach_transaction(session& caller);
    void release_transaction_connection(session& caller);
    void answer(session& caller, statement_result result);
    void answer_success(session& caller);
    void answer_error(session& caller, statement_error error);
    /// @return True if no statement of the session waits for its answer, and none that arrived
    /// together with the first answered one can be on its way to the engine.
    [[nodiscard]] bool all_answered(const session& caller) const;
    /// @brief Closes sessions that were to end after their last answer.
    void close_finished_sessions();
    /// @brief Closes sessions, unless statements of them have arrived that this host has not read.
    void close_sessions(const std::vector<session_id>& ids, session_end reason);
    /// @return True if a session may end for the reason: nothing of it is unanswered.
    [[nodiscard]] bool may_end(const session& caller, session_end reason) const;
    /// @brief Leaves the caller time for the next statement of an operation.
    void put_off_close(session& caller) const;
    /// @return True if this host stops and no longer takes statements outside of transactions.
    [[nodiscard]] bool refuses_statements() const;
    /// @brief Logs and counts the statements of a session that ends without answers to them.
    void report_unanswered(const session& caller, session_end reason);
    [[nodiscard]] std::shared_ptr<const route> find_route(const std::string& database) const;
    /// @brief Result of identify(): an organisation, empty for a caller that needs no key.
    using identification = boost::outcome_v2::checked<core::organisation_id, statement_error>;

    /// @return The organisation of a caller, or why its statements must not run.
    [[nodiscard]] identification identify(const session& caller, const route& via) const;
    /// @return False if a key may have been withdrawn without this host having learned of it.
    [[nodiscard]] bool may_use_keys() const;
    /// @brief Answers a statement of a caller that was not identified.
    void reject_statement(session& caller, const statement_error& error);
    /// @return Error for a statement whose database has no known route.
    [[nodiscard]] statement_error missing_route() const;
    [[nodiscard]] bool writes(const session& caller, const statement& work) const;

    // Requests, session_engine_requests.cpp
    void start_request(session& caller, const statement& work, std::shared_ptr<const route> via,
                       core::organisation_id organisation);
    void dispatch_request(session& caller);
    void enqueue_waiting(session& caller, wait_reason reason);
    void wait_for_primary(session& caller);
    [[nodiscard]] std::optional<core::duration>
    primary_outage_time(const service_state& state) const;
    void dispatch_waiting(const core::service_id& service);
    void dispatch_all_waiting();
    void refuse_unservable(const core::service_id& service);
    [[nodiscard]] waiting_request waiting_request_of(const session& caller);
    void record_service_time(service_state& state, core::duration service_time);
    [[nodiscard]] std::optional<core::target_id> choose_target(session& caller);
    [[nodiscard]] std::optional<core::target_id> choose_replica(session& caller);
    /// @return nullptr if no known target is the primary.
    [[nodiscard]] target_state* primary_of(const service_state& service);
    [[nodiscard]] std::optional<read_requirement> requirement_of(const session& caller) const;
    /// @return The position of requirement_of(), which is recorded for the log.
    [[nodiscard]] std::optional<replication_position> required_position(session& caller) const;
    /// @return Newest log position of the service that the session has written or been shown.
    [[nodiscard]] static std::optional<replication_position>
    seen_position(const session& caller, const core::service_id& service);
    void record_seen(session& caller, const core::service_id& service,
                     const std::optional<replication_position>& position) const;
    [[nodiscard]] bool needs_primary(const session& caller) const;
    /// @return False if this host and the primary may have been cut off together from the other
    /// hosts for so long that another target leads at the given time.
    [[nodiscard]] bool primary_lease_valid(const core::service_id& service, core::time_point at);
    /// @return True if contact with the registry or with a replica within the given time proves
    /// that this host could have learned of a demotion. Also if it keeps no connection to a
    /// replica.
    [[nodiscard]] bool has_lease_contact(const core::service_id& service, core::time_point at,
                                         core::duration within);
    void update_lease(const core::service_id& id, service_state& state);
    void request_demotions();
    [[nodiscard]] bool usable(const target_state& target) const;
    /// @return Time for which a draining target is used as the primary.
    [[nodiscard]] std::chrono::milliseconds draining_primary_use_time() const;
    target_connection* acquire_connection(session& caller, target_state& target);
    /// @param organisation Organisation that uses the connection; empty for this host's own use.
    /// @return 0 if no further connection may be opened.
    core::connection_id open_connection(target_state& target,
                                        const core::organisation_id& organisation = {});
    /// @brief Closes the idle connection of another organisation that was used least recently.
    /// @return False if there is none.
    bool close_idle_connection(target_state& target, const core::organisation_id& organisation);
    /// @return True if a connection may be opened, if necessary in place of an idle one.
    [[nodiscard]] bool may_open(const target_state& target) const;
    void run_on(session& caller, target_connection& connection);
    void send_statement(session& caller, target_connection& connection,
                        std::vector<target_command> commands);
    /// @brief Adds the commands that set the session values of the caller.
    void add_preparation(const session& caller, target_connection& connection,
                         std::vector<target_command>& commands);
    /// @brief Adds the commands that prepare the statement which the caller executes.
    /// @return Its name on the connection.
    [[nodiscard]] std::string prepare_on(const session& caller, target_connection& connection,
                                         std::vector<target_command>& commands);
    void send(target_connection& connection, std::vector<target_command> commands, reply_role role);
    /// @param avoid False if the request may use the target again at once.
    void retry_or_refuse(session& caller, const core::target_id& target, statement_error error,
                         bool avoid = true);
    void refuse(session& caller, statement_error error);
    /// @brief Answers the current request, the only way in which it ends. The session's next
    /// statement follows.
    void end_request(session& caller, statement_result result);
    void time_out_request(session& caller);
    /// @brief Answers the current request without waiting for its target any longer: as not run, or
    /// in doubt if it may have run.
    void give_up_request(session& caller, const char* reason,
                         std::chrono::milliseconds retry_after);
    [[nodiscard]] connection_limit limit_of(const target_state& target) const;
    void update_min_connections();

    // Borrowed connections, session_engine_lending.cpp
    /// @return True if connections to the target are borrowed from holders.
    [[nodiscard]] bool through_holders(const target_state& target) const;
    /// @return The hosts from which a connection can be borrowed, best first.
    [[nodiscard]] const std::vector<core::host_id>&
    holders_of(const target_state& target, const core::organisation_id& organisation);
    /// @param failed Number of holders that have already failed.
    /// @return Empty if this host is to open a connection of its own.
    [[nodiscard]] std::optional<core::host_id>
    next_holder(const target_state& target, const core::organisation_id& organisation,
                unsigned failed);
    core::connection_id borrow_connection(target_state& target, const core::host_id& holder,
                                          const loan_terms& terms);
    /// @brief Borrows a connection for a request, or opens one.
    /// @return 0 if neither is possible now.
    core::connection_id open_or_borrow(const session& caller, target_state& target);
    /// @brief Borrows or opens a connection for a probe or inspection.
    void open_check_connection(target_state& target);
    /// @return True if a connection for the request is already being opened.
    [[nodiscard]] bool loan_pending(const session& caller, const target_state& target);
    /// @brief Gives up the connection that is being borrowed for a request.
    void cancel_loan(const request& work);
    void on_lent(target_connection& lent, bool clean);
    /// @brief Gives back a borrowed connection that no waiting request has taken.
    void return_if_idle(core::connection_id id);
    /// @return True if the host is known to be in another failure domain than this one.
    [[nodiscard]] bool is_distant(const core::host_id& host) const;
    /// @brief Checks targets again that failed, where this host keeps no connection that would show
    /// their return.
    void recheck_failed_targets(const core::service_id& id);
    void on_loan_lost(const target_connection& lost, target_close_reason reason);
    /// @brief Repeats a check of a target that failed through a holder.
    void repeat_check(const target_connection& lost);
    void give_up_slow_holders();

    // Quotas, session_engine_quota.cpp
    /// @return True if the request must use a token before it is sent to a target.
    [[nodiscard]] bool needs_token(const session& caller) const;
    /// @brief Asks for a token if the request needs one and none is available.
    /// @return False if the request waits for it or was refused. True if a token is available, or
    /// if the request waits for a connection meanwhile.
    [[nodiscard]] bool prepare_token(session& caller, const target_state& target);
    void wait_for_token(session& caller);
    /// @brief Uses a token if the request needs one.
    /// @return False if there is none.
    [[nodiscard]] bool take_token(session& caller);
    void refuse_for_quota(session& caller, const quota_refusal& refusal);
    /// @brief Dispatches the requests of an organisation that wait for tokens, oldest first.
    void dispatch_token_waiters(const core::organisation_id& organisation);

    // Replies of targets, session_engine_replies.cpp
    void on_leadership_reply(target_connection& connection, const expected_reply& expected,
                             const statement_result& result);
    void on_preparation_error(const target_connection& connection, const statement_error& error);
    /// @param caller Session whose statement follows the transaction that was rolled back; nullptr
    /// if none does.
    void on_rollback_reply(session* caller, target_connection& connection,
                           const statement_result& result);
    void on_begin_reply(session& caller, target_connection& connection,
                        const expected_reply& expected, const statement_result& result);
    void on_statement_reply(session& caller, target_connection& connection,
                            const expected_reply& expected, const statement_result& result);
    /// @brief A target has dropped prepared statements of the connection. The connection is reset
    /// before its next statement.
    void distrust_connection_state(target_connection& connection);
    void finish_single(session& caller, target_connection& connection,
                       const statement_result& result);
    void finish_in_transaction(session& caller, target_connection& connection,
                               const statement_result& result);
    void on_inspected(const core::target_id& inspected, const target_status& status);
    void release_when_idle(target_connection& connection);
    /// @brief Closes a connection that was opened for a leadership check only, to a target to which
    /// this host keeps none.
    void close_if_only_checking(core::connection_id id);
    void drop_connection(core::connection_id id);
    /// @param target_failed False if the cause lies with the holder of a borrowed connection.
    void on_connection_lost(const target_connection& connection, bool was_open,
                            bool target_failed = true);
    void on_target_contact(const core::target_id& target);
    void record_answer(const core::target_id& target, core::time_point sent);
    void on_target_failure(const core::target_id& target, core::time_point since);
    /// @return False if the target is a former primary that has not noticed its replacement.
    bool confirm_primary(const core::target_id& target, core::time_point sent,
                         replication_position position);
    void refute_primary(const core::target_id& target);
    void record_latency(target_state& target, core::duration taken);

    // Registry, session_engine_registry.cpp
    void apply_target(const target_record& listed);
    /// @brief Uses an entry of a list that may be that of an older copy of the registry.
    void apply_copied_entry(const target_record& listed);
    [[nodiscard]] target_knowledge knowledge_of(const target_record& listed) const;
    /// @return The entry, draining if its process is known to drain: it does not become ready
    /// again.
    [[nodiscard]] target_record with_known_drain(const target_record& listed) const;
    /// @brief Uses the entries that were held back and are still listed.
    void apply_held_entries();
    void mark_target_removed(const core::target_id& id);
    void forget_target(const core::target_id& id);
    /// @return True if another target of the service has taken over the address of the target, and
    /// with it its log.
    [[nodiscard]] bool is_replaced(const target_state& target) const;
    /// @return True if a removed target may hold acknowledged commits that no listed one has.
    [[nodiscard]] bool may_hold_commits(const target_state& target) const;
    [[nodiscard]] unsigned synchronous_replicas_of(const core::service_id& service) const;
    void update_host(const host_record& record);
    void mark_host_removed(const core::host_id& host, host_state& state);
    void update_ready();

    // Periodic updates, isolation and failover: session_engine_periodic.cpp,
    // session_engine_isolation.cpp, session_engine_promotion.cpp
    void update_service(const core::service_id& id, service_state& state);
    void probe(target_state& target);
    /// @return Age at which the newest leadership check of a service's primary is renewed.
    [[nodiscard]] core::duration check_interval_of(const core::service_id& service,
                                                   const target_state& primary) const;
    void probe_all_targets(const core::service_id& id, service_state& state);
    void update_targets();
    void update_startup();
    void maintain_connection(target_state& target);
    void update_isolation();
    [[nodiscard]] bool is_isolated() const;
    void close_idle_sessions();
    void enforce_time_limits();
    void close_unneeded_connections();
    [[nodiscard]] bool answer_overdue(const target_connection& connection) const;
    [[nodiscard]] std::vector<core::connection_id> excess_connections() const;
    void close_excess_connections();
    void advance_shutdown();
    /// @brief Refuses the requests that have not been sent to a target.
    void refuse_unsent_requests();
    /// @brief Answers all requests before this process is killed.
    void give_up_running_requests();
    void give_up_requests(const std::function<bool(const request&)>& selected);
    void advance_failovers();
    void update_promotion_following();
    void clear_reports();
    void add_report(const suspicion_report& report);
    [[nodiscard]] failover_input failover_input_of(const core::service_id& id,
                                                   service_state& state);
    [[nodiscard]] bool is_failing(const service_state& state) const;
    [[nodiscard]] bool reaches_replica(const core::service_id& id, const service_state& state);
    [[nodiscard]] bool concerns_primary(const service_state& state,
                                        const core::target_id& suspected) const;
    [[nodiscard]] bool suspicion_confirmed(const service_state& state) const;
    /// @return The primary if it announced that it stops, otherwise nullptr.
    [[nodiscard]] const target_state* draining_primary(const service_state& state);
    [[nodiscard]] promotion_cause cause_of(const core::service_id& id, service_state& state);
    [[nodiscard]] bool may_promote_now(const core::service_id& id, const service_state& state,
                                       core::time_point needed_since) const;
    void update_observers(const core::service_id& id, service_state& state);
    void repeat_withdrawal(const core::service_id& id, service_state& state);
    void update_suspicion(const core::service_id& id, service_state& state);
    void forget_removed_hosts();
    /// @brief Logs a promotion and counts the commits that it leaves behind.
    void record_promotion_call(const call_promotion& call);
    void inspect_target(const core::target_id& target, command_kind kind, core::term_number term);
    void send_pending_inspections();
    void apply_demotion(const primary_demotion& demotion);
    /// @brief Schedules the announcement of demotions that a list of the registry lacks.
    void find_lost_demotions(const std::vector<primary_demotion>& listed);
    void restore_lost_demotion(const core::service_id& id, service_state& state);
    /// @return True if the registry came back so recently that its items may be those of the copy.
    [[nodiscard]] bool registry_incomplete(core::time_point at) const;
    void withdraw_report(const core::service_id& id, service_state& state);
    void demote_former_primaries(const core::service_id& service, const core::target_id& primary);
    /// @return True if the target's reply shows that it no longer leads or may no longer be used as
    /// the primary.
    [[nodiscard]] bool superseded(const core::target_id& target, const statement_result& result);

    void log_request(const char* name, const session& caller, std::string reason);
    void log_if_objective_missed(const session& caller);
    void count_request(const request& work, const char* outcome);
    void log(core::log_event::level severity, std::string name,
             std::vector<std::pair<std::string, std::string>> fields);
    void count(std::string name, std::vector<std::pair<std::string, std::string>> labels);

    /// Divisor for the weight of a new sample in the moving averages of a service.
    static constexpr int service_weight = 8;
    /// Divisor for the part of stop_grace during which new statements outside of transactions run.
    /// By then, the load balancer routes new connections to other hosts.
    static constexpr int statement_grace_divisor = 3;
    /// Divisor for the part of stop_grace during which open transactions may continue.
    static constexpr int transaction_grace_divisor = 2;
    /// Divisor for the last part of stop_grace, in which statements that have not been sent to a
    /// target are refused.
    static constexpr int unsent_grace_divisor = 6;
    /// Divisor for the last part of stop_grace, in which no answer of a target is awaited.
    static constexpr int running_grace_divisor = 8;
    /// Divisor for the last part of stop_grace, in which the process ends even if callers go on
    /// opening sessions.
    static constexpr int final_grace_divisor = 12;

    session_engine_settings settings_;
    core::id_source ids_;
    core::time_point now_;
    action_list out_;
    std::map<session_id, session> sessions_;
    /// Sessions that may start a waiting statement.
    std::deque<session_id> resumable_;
    /// Sessions that are closed once all of their statements are answered.
    std::vector<session_id> finished_sessions_;
    target_pool pool_;
    copied_entries copied_entries_;
    departed_targets departed_targets_;
    std::map<core::service_id, service_state> services_;
    std::optional<configuration> configuration_;
    /// Latest time at which the configuration is known to have been the newest.
    std::optional<core::time_point> configuration_confirmed_at_;
    /// Some route requires a key.
    bool keys_required_ = false;
    quota_client quota_client_;
    std::map<core::host_id, host_state> hosts_;
    std::vector<link_peer> link_peers_;
    /// Hosts that lend connections, by target and organisation. Derived from link_peers_.
    std::map<std::pair<core::target_id, core::organisation_id>, std::vector<core::host_id>>
        ranked_holders_;
    holder_avoidance avoided_holders_;
    /// Incremented whenever the set of live hosts changes.
    std::uint64_t hosts_version_ = 0;
    std::vector<pending_inspection> pending_inspections_;
    failover_coordinator failover_coordinator_;
    bool follows_promotions_ = false;
    /// Last time at which this host was involved in a failover.
    std::optional<core::time_point> last_promotion_involvement_;
    bool targets_known_ = false;
    bool registry_reachable_ = true;
    bool ready_ = false;
    /// The next list of demotions may lack some that this host knows.
    bool demotions_may_be_lost_ = false;
    /// The demotions are listed as soon as demotions_list_interval allows it.
    bool demotions_list_due_ = false;
    /// Targets, hosts or limits have changed since the last update_min_connections().
    bool min_connections_outdated_ = true;
    std::optional<core::time_point> stopping_since_;
    /// Time since which this host reaches no target outside its own failure domain.
    std::optional<core::time_point> isolated_since_;
    /// Time of the last contact with a host of another failure domain.
    std::optional<core::time_point> peer_contacted_at_;
    /// Time of the last request to list the demotions.
    std::optional<core::time_point> demotions_requested_at_;
    /// Time of the last request for contact with the registry.
    core::time_point registry_contact_requested_at_;
    /// Latest time at which a call was sent that the registry answered.
    core::time_point registry_contacted_at_;
    /// Time at which the last answered request was made. The list contains all demotions that had
    /// been announced by then.
    core::time_point demotions_known_at_;
    /// Time at which this host learned that the registry has come back from an older copy.
    std::optional<core::time_point> registry_restored_at_;
    core::time_point last_periodic_run_;
    /// Time of the first event.
    std::optional<core::time_point> started_at_;
    bool starting_ = true;
    /// Last time at which a target refused a connection because of its connection limit.
    core::time_point last_limit_refusal_;
    /// Time at which the last connection was opened in advance of any request.
    core::time_point last_preconnect_;
};

} // namespace lovagemoor::proxy
