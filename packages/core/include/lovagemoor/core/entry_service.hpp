#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/burn_tracker.hpp>
#include <lovagemoor/core/call_check.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/result_assembler.hpp>
#include <lovagemoor/core/retry_budget.hpp>
#include <lovagemoor/core/session_token.hpp>
#include <lovagemoor/core/settings.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief Receives callers' calls, forwards them to the owners of their targets and answers each
/// call exactly once.
///
/// A call is retried only if the retry cannot run it twice. Reads and writes with an idempotency
/// key can always be retried. A write without a key is retried only after a refusal, which
/// guarantees that the write did not run.
class entry_service {
public:
    /// Called with the target state that an owner's answer carries.
    using observation_hook = std::function<void(time_point, const target_observation&)>;

    /// @param settings Must outlive the object, like `view`.
    /// @param ids Unused, because attempts are numbered by incarnation; see replay_window.
    entry_service(const core_settings& settings, const cluster_view& view, id_source& ids,
                  token_sealer sealer, observation_hook observe);

    void on_caller(time_point now, const caller_called& called, action_list& actions);
    void on_cancelled(time_point now, const caller_cancelled& cancelled, action_list& actions);
    void on_rows(time_point now, const host_id& from, const forward_rows& rows,
                 action_list& actions);
    void on_outcome(time_point now, const host_id& from, const forward_outcome& result,
                    action_list& actions);

    /// @brief Tries to send the parked calls, which wait for a newer view.
    void on_view_changed(time_point now, action_list& actions);

    void on_host_lost(time_point now, const host_id& host, action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @brief Refuses new calls from now on, except calls in transactions that are already open.
    void drain(time_point now, action_list& actions);

    [[nodiscard]] std::size_t in_progress() const noexcept { return calls_.size(); }

    /// @return Time at which on_timer() must be called next; time_point::max() if no timer is set.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    [[nodiscard]] std::vector<burn_entry> burn(time_point now) const { return burn_.entries(now); }

private:
    struct route {
        host_id owner;
        target_id target;

        friend bool operator==(const route&, const route&) = default;
    };

    struct pending_call {
        request_id id = 0;
        checked_call call;
        time_point received_at;
        time_point deadline;
        /// Time of the next timer for this call.
        time_point wakeup = time_point::max();
        /// Request number of the current attempt, as sent to the owner; 0 while the call is parked.
        request_id attempt = 0;
        std::uint32_t attempts = 0;
        route last_route;
        bool last_is_primary = false;
        std::vector<target_id> excluded;
        /// Why the call could not be sent; the caller's answer if the deadline passes first.
        refused pending_refusal;
        result_assembler rows;
        bool rows_delivered = false;
        /// Set when an attempt was abandoned without knowing whether it ran. From then on the call
        /// must not be reported as not run.
        std::optional<unknown_reason> unknown_effect;
        /// Outcome that arrived before some of its row batches and waits for them.
        std::optional<forward_outcome> early_outcome;
    };

    using call_map = std::unordered_map<request_id, pending_call>;

    // Routing and sending.
    enum class trigger : std::uint8_t { arrival, refusal, view_change, timer };
    void try_send(time_point now, pending_call& call, trigger cause, action_list& actions);
    [[nodiscard]] bool is_ready(time_point now, pending_call& call, action_list& actions);
    [[nodiscard]] bool select_group_once(time_point now, pending_call& call, action_list& actions);
    [[nodiscard]] std::optional<route> select_route(time_point now, pending_call& call,
                                                    action_list& actions);
    [[nodiscard]] std::optional<route> transaction_route(time_point now, pending_call& call,
                                                         action_list& actions);
    [[nodiscard]] std::optional<target_id> select_target(time_point now, pending_call& call);
    [[nodiscard]] bool may_send(time_point now, pending_call& call, const route& chosen,
                                trigger cause, action_list& actions);
    void send(time_point now, pending_call& call, const route& chosen, action_list& actions);
    void park(time_point now, pending_call& call, refusal_reason reason, duration pause,
              action_list& actions);
    void set_wakeup(pending_call& call, time_point wakeup);
    void on_call_timer(time_point now, pending_call& call, action_list& actions);

    // Results.
    [[nodiscard]] pending_call* find_attempt(const host_id& from, request_id attempt);
    void deliver_rows(pending_call& call, action_list& actions);
    void on_result(time_point now, pending_call& call, const forward_outcome& result,
                   action_list& actions);
    void on_complete(time_point now, pending_call& call, const forward_outcome& result,
                     action_list& actions);
    void on_refused(time_point now, pending_call& call, const refused& refusal,
                    action_list& actions);
    void on_unknown(time_point now, pending_call& call, unknown_reason reason,
                    action_list& actions);
    void retry(time_point now, pending_call& call, const refused& refusal, action_list& actions);
    void end_attempt(pending_call& call, bool cancel, action_list& actions);

    // Answers to callers.
    void finish(time_point now, pending_call& call, outcome result, std::string transaction,
                action_list& actions);
    void refuse_call(time_point now, const caller_called& called, refused refusal,
                     action_list& actions);
    void count_outcome(time_point now, const service_id& service, urgency priority,
                       duration elapsed, const outcome& result, action_list& actions);
    void log_outcome(const pending_call& call, const outcome& result, action_list& actions) const;
    [[nodiscard]] std::string alternative_host(request_id id) const;
    [[nodiscard]] std::string sealed_session(const pending_call& call) const;

    const core_settings& settings_;
    const cluster_view& view_;
    token_sealer sealer_;
    observation_hook observe_;
    retry_budget budget_;
    burn_tracker burn_;
    call_map calls_;
    std::unordered_map<request_id, request_id> attempts_;
    std::set<std::pair<time_point, request_id>> wakeups_;
    /// Ordered by request number, which is the order of arrival.
    std::set<request_id> parked_;
    request_id last_attempt_;
    bool draining_ = false;
};

} // namespace lovagemoor::core
