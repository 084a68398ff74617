#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/operator_call.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovagemoor::core {

/// @brief Reason for starting a promotion.
enum class promotion_reason : std::uint8_t {
    primary_suspected,
    /// The group has no term record yet.
    first_election,
    /// A host claimed a term but did not record its primary in time.
    election_stuck,
    /// The platform lists the primary as leaving or no longer lists it.
    primary_leaving,
    operator_request,
};

[[nodiscard]] const char* to_string(promotion_reason value) noexcept;

/// @brief Elects and promotes the primaries of the database groups.
///
/// A candidate host claims a new term by a compare-and-swap of the group's term record, so that no
/// two candidates use the same term. It fences the lower terms: a majority of the targets promises
/// to accept nothing of them. Of the targets that replied it promotes the one whose log is the most
/// recent by last term and position, and finally records this primary in the term record. At most
/// one target is asked to promote within a term: when its answer is lost, the next attempt claims a
/// new term. When the effect of a platform call is unknown, the record is read back before the next
/// step.
class promoter {
public:
    /// @param is_suspected Returns whether a group's primary is suspected. It is called after the
    /// candidate's delay, to skip a promotion that is no longer needed.
    promoter(const core_settings& settings, const cluster_view& view, id_source& ids,
             std::function<bool(const group_id&)> is_suspected);

    /// @brief Starts a promotion of a group with a suspected primary, after the candidate's delay.
    void suspect(time_point now, const group_id& group, action_list& actions);

    /// @brief Starts a promotion for an operator. It prefers other targets to the present primary.
    [[nodiscard]] promote_result request(time_point now, const group_id& group,
                                         action_list& actions);

    /// @return True if the call was issued by this object.
    bool on_control_finished(time_point now, const control_finished& finished,
                             action_list& actions);

    /// @return True if the call was issued by this object.
    bool on_platform_finished(time_point now, const platform_finished& finished,
                              action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @return Term records read or written since the last call, to be passed to
    /// view_sync::publish().
    [[nodiscard]] std::vector<platform_record> take_new_records();

    [[nodiscard]] time_point next_wakeup() const;

private:
    enum class stage : std::uint8_t {
        /// Waits for the candidate's delay, which lets the highest-ranked observer act first.
        delayed,
        /// Reads the term record.
        reading,
        /// Queries the targets for the terms that they have promised.
        querying_terms,
        /// Writes the new term to the record by compare-and-swap.
        claiming,
        /// Reads the record because the effect of the claim is unknown.
        verifying_claim,
        /// Asks the targets to promise the new term, until a majority has done so.
        fencing,
        /// Waits for the chosen target's answer to the promotion.
        promoting,
        /// Writes the primary and the serving phase to the record by compare-and-swap.
        recording_primary,
        /// Reads the record because the effect of the last swap is unknown.
        verifying_primary,
    };

    struct attempt {
        std::uint64_t number = 0;
        promotion_reason reason = promotion_reason::primary_suspected;
        stage active_stage = stage::delayed;
        time_point started_at;
        time_point stage_entered_at;
        time_point deadline;
        /// When the active stage is run again; time_point::max() while it waits for an answer.
        time_point due = time_point::max();
        /// Term and phase for which the attempt was opened. It ends if the record no longer has
        /// them.
        term_number expected_term = 0;
        term_phase expected_phase = term_phase::serving;
        /// The record that the next swap replaces, and its revision.
        term_record record;
        std::int64_t revision = 0;
        bool needs_term_query = false;
        term_number term = 0;
        /// Targets that are not chosen if a majority of other targets has replied.
        std::set<target_id> avoided;
        std::map<target_id, promise_reply> replies;
        std::map<target_id, time_point> retry_at;
        std::set<target_id> outstanding;
        target_id chosen;
        log_position start_position = 0;
    };

    struct issued_call {
        group_id group;
        std::uint64_t attempt = 0;
    };

    struct observed_election {
        term_number term = 0;
        time_point first_seen_at;
    };

    attempt& open_attempt(time_point now, const group_id& group, promotion_reason reason);
    void start_election(time_point now, const group_id& group, attempt& current,
                        action_list& actions);
    [[nodiscard]] bool is_still_needed(const group_id& group, const attempt& current) const;
    [[nodiscard]] duration candidate_delay(const group_id& group, term_number expected_term) const;

    void scan_groups(time_point now);
    /// @return True if the group has no serving primary, or if its primary is leaving and a
    /// majority of its targets is not.
    [[nodiscard]] bool needs_promotion(const group_record& group) const;
    void scan_group(time_point now, const group_record& group);
    void run_stage(time_point now, const group_id& group, attempt& current, action_list& actions);
    void call_platform_for(const group_id& group, attempt& current, const platform_call& request,
                           action_list& actions);
    void call_targets(time_point now, const group_id& group, attempt& current,
                      const control_call& request, action_list& actions);
    void claim_term(const group_id& group, attempt& current, action_list& actions);
    void record_primary(const group_id& group, attempt& current, action_list& actions);

    void on_record_read(time_point now, const group_id& group, attempt& current,
                        const std::optional<platform_record>& record, action_list& actions);
    void on_swapped(time_point now, const group_id& group, attempt& current,
                    const platform_swapped& swapped, action_list& actions);
    void on_platform_failed(time_point now, attempt& current, bool is_unknown);
    void on_term_query_reply(time_point now, const group_id& group, attempt& current,
                             const control_finished& finished, action_list& actions);
    void finish_term_query(time_point now, const group_id& group, attempt& current,
                           action_list& actions);
    void on_fence_reply(time_point now, const group_id& group, attempt& current,
                        const control_finished& finished, action_list& actions);
    void on_promote_reply(time_point now, const group_id& group, attempt& current,
                          const control_finished& finished, action_list& actions);
    void choose_target(time_point now, const group_id& group, attempt& current,
                       action_list& actions);
    [[nodiscard]] std::optional<target_id> best_target(const group_record& group,
                                                       const attempt& current) const;

    void enter_stage(time_point now, attempt& current, stage next);
    void complete(time_point now, const group_id& group, action_list& actions);
    void abandon(time_point now, const group_id& group, const char* cause, action_list& actions);
    void restart(time_point now, const group_id& group, const char* cause, action_list& actions);
    [[nodiscard]] bool has_majority(const group_id& group, const attempt& current) const;
    void add_new_record(const platform_record& record);

    const core_settings& settings_;
    const cluster_view& view_;
    id_source& ids_;
    std::function<bool(const group_id&)> is_suspected_;
    std::uint64_t last_attempt_ = 0;
    std::map<group_id, attempt> attempts_;
    std::map<call_id, issued_call> calls_;
    std::map<group_id, observed_election> observed_elections_;
    /// Groups with a target that has promised a later term than the record's.
    std::set<group_id> needs_term_query_;
    /// Earliest time of the next planned promotion of each group.
    std::map<group_id, time_point> planned_after_;
    time_point next_scan_;
    std::uint64_t scanned_generation_ = 0;
    bool needs_scan_ = true;
    std::vector<platform_record> new_records_;
};

} // namespace lovagemoor::core
