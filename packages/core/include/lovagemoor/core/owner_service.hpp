#pragma once

#include <lovagemoor/core/acknowledger.hpp>
#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/admission_controller.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/connection_pool.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/replay_window.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/statement_cost_table.hpp>
#include <lovagemoor/core/target_queue.hpp>
#include <lovagemoor/core/transactions.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief Load of one target, as shown in the status for operators.
struct target_load {
    target_id target;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t connections = 0;
};

/// @brief Runs forwarded requests on the targets that this host owns.
///
/// The service checks that this host owns the target and that the entry host's view of the group is
/// current, admits or refuses the request by its deadline, schedules the target's slots and manages
/// its connections. It answers a write, a commit or a read outside a transaction only after the
/// acknowledger has confirmed it. Every accepted request gets exactly one forward_outcome unless it
/// is cancelled.
class owner_service {
public:
    /// @param settings Must outlive the object, like `view`, `acknowledgements` and `ids`.
    owner_service(const core_settings& settings, const cluster_view& view,
                  acknowledger& acknowledgements, id_source& ids);

    void submit(time_point now, const host_id& entry, const forward_request& request,
                action_list& actions);

    /// @brief Discards a request that its entry host cancelled. If the request is running, its
    /// connection is closed.
    void cancel(time_point now, const host_id& entry, request_id request, action_list& actions);

    void on_connection_opened(time_point now, const connection_opened& opened,
                              action_list& actions);
    void on_connection_closed(time_point now, const connection_closed& closed,
                              action_list& actions);
    void on_job_rows(time_point now, const job_rows& rows, action_list& actions);
    void on_job_finished(time_point now, const job_finished& finished, action_list& actions);
    void on_acknowledged(time_point now, const acknowledgement& result, action_list& actions);

    /// @brief Hands over targets that this host no longer owns and abandons work on primaries that
    /// have been replaced.
    void on_view_changed(time_point now, action_list& actions);

    /// @brief Refuses the queued requests of an entry host that failed.
    void on_host_lost(time_point now, const host_id& host, action_list& actions);

    void on_timer(time_point now, action_list& actions);

    /// @brief Refuses new requests from now on, except statements in open transactions.
    void drain(time_point now, action_list& actions);

    /// @return Number of unfinished requests and open transactions.
    [[nodiscard]] std::size_t in_progress() const noexcept;

    /// @return Time at which on_timer() must be called next; time_point::max() if no timer is set.
    [[nodiscard]] time_point next_wakeup() const;

    [[nodiscard]] std::vector<target_load> loads() const;

    /// @return Expected wait for a slot of the target at normal urgency.
    [[nodiscard]] duration queue_wait(const target_id& target) const;

private:
    enum class request_phase : std::uint8_t { queued, running, acknowledging };

    struct owned_request {
        /// Identifies the request on this host, also towards the acknowledger.
        std::uint64_t ticket = 0;
        host_id entry;
        forward_request request;
        /// Scheduling class: the declared urgency, or bulk if the statement's measured cost is
        /// high.
        urgency priority = urgency::normal;
        time_point deadline;
        time_point queued_at;
        time_point started_at;
        request_phase phase = request_phase::queued;
        connection_id connection = 0;
        job_id job = 0;
        /// Term of the group when the request, or the transaction it belongs to, was started.
        term_number expected_term = 0;
        std::uint32_t batches = 0;
        /// Outcome to send once it is acknowledged.
        outcome pending_result;
        group_position shown;
    };

    /// State of a target that this host owns, or did own and still has connections to.
    struct owned_target_state {
        owned_target_state(duration bulk_max_wait, id_source& ids)
            : queue{bulk_max_wait}, pool{ids} {}

        target_queue queue;
        connection_pool pool;
        admission_controller admission;
        std::array<std::size_t, urgency_count> running{};
        std::optional<time_point> owned_since;
        target_observation observed;
        time_point observed_at;
        /// Next time to maintain the pool: when the pause after a failed connection attempt ends,
        /// or when the halved connection budget of a new owner ends.
        time_point pool_wakeup = time_point::max();
    };

    struct reset_in_progress {
        target_id target;
        connection_id connection = 0;
    };

    struct received_window {
        replay_window window;
        time_point last_used;
    };

    using request_map = std::unordered_map<std::uint64_t, owned_request>;

    // Admission.
    [[nodiscard]] bool accept_once(time_point now, const host_id& entry, request_id request);
    void cancel_unknown(time_point now, const host_id& entry, request_id request,
                        action_list& actions);
    [[nodiscard]] std::optional<refused>
    check_submission(time_point now, const forward_request& request, urgency priority);
    [[nodiscard]] std::optional<refused> check_transaction(const forward_request& request);
    [[nodiscard]] std::optional<refused> check_placement(const forward_request& request) const;
    [[nodiscard]] std::optional<refused>
    check_capacity(time_point now, const forward_request& request, urgency priority) const;
    [[nodiscard]] urgency scheduling_class(const forward_request& request) const;
    [[nodiscard]] bool is_owner(const target_id& target) const;
    [[nodiscard]] bool is_lost_transaction(const forward_request& request);
    void reply_without_running(time_point now, const host_id& entry, const forward_request& request,
                               outcome result, action_list& actions);

    // Scheduling.
    void update_ownership(time_point now, const target_id& target, action_list& actions);
    [[nodiscard]] owned_target_state& state_of(const target_id& target);
    [[nodiscard]] const owned_target_state* find_state(const target_id& target) const;
    [[nodiscard]] std::uint32_t slots_of(const target_id& target) const;
    [[nodiscard]] std::size_t connection_budget(time_point now, const target_id& target,
                                                const owned_target_state& state) const;
    [[nodiscard]] target_backlog backlog_of(const target_id& target,
                                            const owned_target_state& state) const;
    void dispatch(time_point now, const target_id& target, action_list& actions);
    /// @return True if the request is not expected to finish before its deadline.
    [[nodiscard]] bool is_too_late(time_point now, const owned_request& owned,
                                   const owned_target_state& state) const;
    void maintain_pool(time_point now, const target_id& target, owned_target_state& state,
                       action_list& actions);
    void start(time_point now, owned_request& owned, owned_target_state& state,
               action_list& actions);
    [[nodiscard]] target_job make_job(const owned_request& owned);
    [[nodiscard]] static queued_request queue_entry(const owned_request& owned);
    void refuse_queued(time_point now, std::uint64_t ticket, refusal_reason reason,
                       action_list& actions);
    void refuse_unservable(time_point now, const target_id& target, action_list& actions);
    void abandon_superseded_work(time_point now, action_list& actions);
    [[nodiscard]] bool is_superseded(const target_id& target, term_number expected) const;

    // Results.
    void release_slot(time_point now, owned_request& owned, bool measured);
    void finish_job(time_point now, owned_request& owned, const job_result& result,
                    action_list& actions);
    void on_done(time_point now, owned_request& owned, const job_done& result,
                 action_list& actions);
    void on_error(time_point now, owned_request& owned, const job_error& error,
                  action_list& actions);
    void on_already_committed(time_point now, owned_request& owned,
                              const job_already_committed& result, action_list& actions);
    [[nodiscard]] outcome interrupted_outcome(const owned_request& owned, bool sent,
                                              unknown_reason reason) const;
    [[nodiscard]] bool has_expected_term(const owned_request& owned, term_number term) const;
    void register_transaction(time_point now, owned_request& owned, action_list& actions);
    void acknowledge(time_point now, owned_request& owned, const group_position& shown,
                     action_list& actions);
    /// @return A replica that holds the position that the answer reports, empty when unknown.
    [[nodiscard]] target_id holder_of(const owned_request& owned,
                                      const acknowledgement& result) const;
    void release_connection(owned_request& owned, action_list& actions);
    /// @brief Ends the transaction of a running request whose connection is gone: a transaction
    /// with a commit in progress is removed, any other is marked as lost.
    void end_transaction_of(time_point now, const owned_request& owned);
    void mark_transaction_lost(time_point now, transaction_id transaction);
    void mark_transaction_idle(time_point now, transaction_id transaction);

    /// @brief Closes the connection of a running request and answers the request. The calling
    /// function must dispatch the next request itself.
    void abandon(time_point now, owned_request& owned, unknown_reason reason, action_list& actions);
    void answer(time_point now, owned_request& owned, outcome result, action_list& actions);
    void erase_request(const owned_request& owned);
    void expire_deadlines(time_point now, action_list& actions);
    void expire_transactions(time_point now, action_list& actions);
    void record_observation(time_point now, const owned_request& owned, const job_done& result);
    [[nodiscard]] target_observation observation_of(time_point now, const target_id& target) const;
    void send(const host_id& entry, peer_message message, action_list& actions) const;

    const core_settings& settings_;
    const cluster_view& view_;
    acknowledger& acknowledgements_;
    id_source& ids_;
    /// Identifies this process in transaction handles. It is a copy, because the view's incarnation
    /// may grow while the process runs.
    incarnation_number incarnation_;
    statement_cost_table costs_;
    std::map<target_id, owned_target_state> target_states_;
    request_map requests_;
    std::map<std::pair<host_id, request_id>, std::uint64_t> tickets_;
    std::map<host_id, received_window> received_;
    std::unordered_map<job_id, std::uint64_t> jobs_;
    std::unordered_map<job_id, reset_in_progress> resets_;
    std::set<std::pair<time_point, std::uint64_t>> deadlines_;
    transaction_table transactions_;
    bool draining_ = false;
};

} // namespace lovagemoor::core
