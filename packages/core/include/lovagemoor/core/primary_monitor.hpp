#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lovagemoor::core {

/// @brief Polls targets and suspects a group's primary when several observers cannot reach it.
///
/// A host polls the primaries of the groups that it observes and all targets that it owns. A slow
/// reply and a refusal for lack of capacity (SQLSTATE class 53) are signs of load and not of
/// failure, so they count as proof that the target is running.
class primary_monitor {
public:
    primary_monitor(const core_settings& settings, cluster_view& view, id_source& ids);

    /// @return True if the call was issued by this object.
    bool on_control_finished(time_point now, const control_finished& finished,
                             action_list& actions);
    void on_report(time_point now, const host_id& from, const primary_report& report,
                   action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @return Groups whose primary has become suspected. A group is returned again at every
    /// core_settings::report_interval while the suspicion lasts, so that an abandoned promotion is
    /// retried.
    [[nodiscard]] std::vector<group_id> take_suspected();

    /// @return True while enough observers report the group's present primary as unreachable.
    [[nodiscard]] bool is_suspected(const group_id& group) const;

    [[nodiscard]] time_point next_wakeup() const;

private:
    struct poll {
        time_point due;
        std::map<call_id, time_point> issued;
    };

    struct received_report {
        primary_report report;
        time_point received_at;
    };

    /// State of the primary of a group that this host observes.
    struct observed_group {
        target_id primary;
        term_number term = 0;
        time_point last_healthy_at;
        bool is_reachable = true;
        bool is_suspected = false;
        time_point report_due;
        time_point suspicion_due;
    };

    /// Determines the targets to poll and the groups to observe after a change of the view.
    void update_assignments(time_point now);
    /// Does not count the time for which this process was paused as silence of the primaries.
    void compensate_for_pause(duration pause);
    void issue_polls(time_point now, action_list& actions);
    void record_result(time_point now, time_point issued_at, const control_finished& finished,
                       action_list& actions);
    void observe_reply(time_point issued_at, const target_id& target, const status_reply& reply);
    void observe_unreachable(time_point now, const target_id& target);
    [[nodiscard]] bool shows_healthy_primary(const control_result& result, term_number term) const;

    void check_group(time_point now, const group_id& id, observed_group& group,
                     action_list& actions);
    void check_suspicion(time_point now, const group_id& id, observed_group& group,
                         action_list& actions);
    void send_reports(time_point now, const group_id& id, observed_group& group,
                      action_list& actions);
    /// @param needed Set to the number of reports that make the primary suspected.
    /// @return Number of observers, including this host, that cannot reach the primary.
    [[nodiscard]] std::size_t count_unreachable(time_point now, const group_id& id,
                                                const observed_group& group,
                                                std::size_t& needed) const;

    const core_settings& settings_;
    cluster_view& view_;
    id_source& ids_;
    std::uint64_t assigned_generation_ = 0;
    bool has_assignments_ = false;
    std::map<target_id, poll> polls_;
    std::map<call_id, target_id> calls_;
    std::map<group_id, observed_group> groups_;
    std::map<group_id, std::map<host_id, received_report>> reports_;
    std::set<group_id> suspected_;
    time_point next_check_;
};

} // namespace lovagemoor::core
