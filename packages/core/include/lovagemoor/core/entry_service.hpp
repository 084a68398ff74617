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

/// @brief Takes callers' calls, sends them to the owners of their targets and answers each exactly
/// once.
///
/// A call is sent again only while that cannot run it twice: reads and keyed writes always,
/// unkeyed writes only after a refusal, which is certain not to have run.
class entry_service {
public:
    /// Receives the state of a target that came with an owner's answer.
    using observation_hook = std::function<void(time_point, const target_observation&)>;

    /// @param settings Must outlive the object, like `view`.
    /// @param ids Not used: attempts are numbered by incarnation, see replay_window.
    entry_service(const core_settings& settings, const cluster_view& view, id_source& ids,
                  token_sealer sealer, observation_hook observe);

    void on_caller(time_point now, const caller_called& called, action_list& actions);
    void on_cancelled(time_point now, const caller_cancelled& cancelled, action_list& actions);
    void on_rows(time_point now, const host_id& from, const forward_rows& rows,
                 action_list& actions);
    void on_outcome(time_point now, const host_id& from, const forward_outcome& result,
                    action_list& actions);

    /// @brief Tries parked calls again.
    void on_view_changed(time_point now, action_list& actions);

    void on_host_lost(time_point now, const host_id& host, action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @brief Refuses new calls from now on, except those of transactions already begun.
    void drain(time_point now, action_list& actions);

    [[nodiscard]] std::size_t in_progress() const noexcept { return calls_.size(); }

    /// @return When on_timer() is needed next, time_point::max() when never.
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
        /// Number under which the owner knows the call, 0 while it is parked.
        request_id attempt = 0;
        std::uint32_t attempts = 0;
        route last_route;
        bool last_is_primary = false;
        std::vector<target_id> excluded;
        /// Why the call is parked; the refusal when its deadline passes.
        refused pending_refusal;
        result_assembler rows;
        bool rows_delivered = false;
        /// Set when an attempt whose effect is not known was given up, so that the call must not
        /// be reported as not run any more.
        std::optional<unknown_reason> unknown_effect;
        /// An outcome that waits for batches that were overtaken.
        std::optional<forward_outcome> early_outcome;
    };

    using call_map = std::unordered_map<request_id, pending_call>;

    // Sending.
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

    // Answers.
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
    /// In order of arrival.
    std::set<request_id> parked_;
    request_id last_attempt_;
    bool draining_ = false;
};

} // namespace lovagemoor::core
