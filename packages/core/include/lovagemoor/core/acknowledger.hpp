#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lovagemoor::core {

/// @brief Asks whether a majority of a group's targets attests a term and a log position.
///
/// A target attests them when it has promised no later term and its last log entry belongs to the
/// term and stands at the position or after it.
struct acknowledgement_request {
    /// Identifies the request among the unfinished ones.
    std::uint64_t id = 0;
    group_id group;
    term_number term = 0;
    /// With position 0 a target attests the term alone: its promise is checked, its log is not.
    log_position position = 0;
    /// When false, only the primary must hold the position; replicas need any entry of the term.
    bool position_on_replicas = true;
    /// Attestations from calls issued before this time do not count.
    time_point not_before;
    time_point deadline;
};

enum class acknowledgement_status : std::uint8_t {
    acknowledged,
    /// A target has promised a later term, so the request's term may have been replaced.
    superseded,
    /// No majority of the targets attested before the deadline.
    no_quorum,
};

struct acknowledgement {
    std::uint64_t id = 0;
    acknowledgement_status status = acknowledgement_status::no_quorum;
    /// A replica that attested the position; empty when none did, when the position is 0 or when
    /// only the primary had to hold it.
    target_id holder{};
};

/// @brief Collects attestations of a group's targets for writes and reads.
///
/// All requests of a group share the attest calls: each target has at most one outstanding call,
/// which asks for the highest position that any request needs. An attestation counts for a request
/// only if its call was issued at or after the request's `not_before`. It then proves that the term
/// had not been replaced before the request's work was finished.
class acknowledger {
public:
    /// @param settings Must outlive the object, as must `view` and `ids`.
    acknowledger(const core_settings& settings, const cluster_view& view, id_source& ids);

    /// @brief Starts a request. take_finished() returns its result, possibly right after this call.
    void submit(time_point now, const acknowledgement_request& request, action_list& actions);

    /// @return True if the call was issued by this object.
    bool on_control_finished(time_point now, const control_finished& finished,
                             action_list& actions);

    void on_timer(time_point now, action_list& actions);

    /// @return Results of the requests that finished since the last call, in order of completion.
    [[nodiscard]] std::vector<acknowledgement> take_finished();

    /// @return When on_timer() must be called next; time_point::max() when no call is needed.
    [[nodiscard]] time_point next_wakeup() const;

private:
    struct pending_request {
        acknowledgement_request request;
        /// Only attestations from calls with a higher identifier count. 0 allows the reuse of
        /// earlier attestations.
        call_id issued_after = 0;
    };

    struct attestation {
        call_id call = 0;
        time_point issued_at;
        promise_reply reply;
    };

    struct outstanding_call {
        call_id call = 0;
        time_point issued_at;
        attest_call request;
    };

    struct target_state {
        std::optional<outstanding_call> outstanding;
        /// No call is issued before this time, so that a target that cannot attest is not called in
        /// a tight loop.
        time_point retry_at;
        std::optional<attestation> last;
    };

    struct group_state {
        std::map<std::uint64_t, pending_request> pending;
        std::map<target_id, target_state> targets;
        time_point wakeup = time_point::max();
    };

    /// Finishes the group's decided requests and issues the calls that the others need.
    void update_group(time_point now, const group_id& group, group_state& state,
                      action_list& actions);
    void finish_decided(time_point now, const group_record* group, group_state& state);
    void issue_call(time_point now, const group_id& group_name, const target_record& target,
                    group_state& group, action_list& actions);
    [[nodiscard]] std::optional<attest_call> needed_call(const target_id& target,
                                                         const group_state& state) const;
    [[nodiscard]] std::optional<acknowledgement_status> decide(time_point now,
                                                               const pending_request& pending,
                                                               const group_record* group,
                                                               const group_state& state) const;
    [[nodiscard]] target_id find_holder(const pending_request& pending, const group_record& group,
                                        const group_state& state) const;
    [[nodiscard]] log_position position_needed(const acknowledgement_request& request,
                                               const target_id& target) const;
    [[nodiscard]] bool attests(const pending_request& pending, const target_id& target,
                               const target_state& state) const;

    const core_settings& settings_;
    const cluster_view& view_;
    id_source& ids_;
    std::map<group_id, group_state> groups_;
    std::map<call_id, std::pair<group_id, target_id>> calls_;
    std::vector<acknowledgement> finished_;
};

} // namespace lovagemoor::core
