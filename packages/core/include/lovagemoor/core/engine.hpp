#pragma once

#include <lovagemoor/core/acknowledger.hpp>
#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/configuration_changer.hpp>
#include <lovagemoor/core/entry_service.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/core/id_source.hpp>
#include <lovagemoor/core/membership.hpp>
#include <lovagemoor/core/owner_service.hpp>
#include <lovagemoor/core/primary_monitor.hpp>
#include <lovagemoor/core/promoter.hpp>
#include <lovagemoor/core/session_token.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/view_sync.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lovagemoor::core {

/// @brief Properties that differ between the engines of different hosts and processes.
struct engine_identity {
    host_record self;
    /// Must be higher than in any earlier process with the same host identifier.
    incarnation_number incarnation = 1;
    std::vector<host_record> seeds;
    /// Key that authenticates session tokens; the same on all hosts.
    std::string session_key;
    std::uint64_t random_seed = 1;
};

/// @brief Makes all decisions of one host. It takes events with their times and returns the actions
/// that the driver carries out.
///
/// The engine has no clock, socket or thread. The same identity, settings, events and times always
/// produce the same actions.
class engine {
public:
    engine(const core_settings& settings, engine_identity identity);

    /// @brief Joins the fleet and reads the platform's records. Must be called once, before the
    /// first event.
    [[nodiscard]] action_list start(time_point now);

    /// @brief Handles one event.
    /// @param now Time of the event; must not be earlier than in the previous call.
    [[nodiscard]] action_list handle(time_point now, const event& value);

    /// @return When timer_expired must be sent if no other event arrives before.
    [[nodiscard]] time_point next_wakeup() const;

    /// @return This host's view of the fleet and the platform's records.
    [[nodiscard]] const cluster_view& view() const noexcept { return view_; }

private:
    void dispatch(time_point now, const event& value, action_list& actions);
    void handle_peer(time_point now, const peer_received& received, action_list& actions);
    void handle_operator(time_point now, const operator_called& called, action_list& actions);
    void handle_control(time_point now, const control_finished& finished, action_list& actions);
    void handle_platform(time_point now, const platform_finished& finished, action_list& actions);
    void handle_timer(time_point now, action_list& actions);
    /// Passes results between the parts, such as lost hosts, suspicions, new records, changes of
    /// the view and acknowledgements.
    void propagate_results(time_point now, action_list& actions);
    /// Starts a graceful stop when the platform lists this host as leaving.
    void drain_if_listed_as_leaving(time_point now, action_list& actions);
    void begin_drain(time_point now, action_list& actions);
    void check_drain(time_point now, action_list& actions);
    [[nodiscard]] status_result status() const;
    [[nodiscard]] target_status status_of(const group_record& group, const target_record& target,
                                          const target_load& load) const;
    [[nodiscard]] std::size_t in_progress() const;

    core_settings settings_;
    engine_identity identity_;
    std::mt19937_64 random_;
    id_source ids_;
    cluster_view view_;
    acknowledger acknowledger_;
    membership membership_;
    view_sync view_sync_;
    primary_monitor monitor_;
    promoter promoter_;
    configuration_changer changer_;
    owner_service owner_;
    entry_service entry_;
    std::uint64_t handled_generation_ = 0;
    std::optional<time_point> drain_started_;
    /// Time since which this draining host has had no request or transaction in progress.
    std::optional<time_point> idle_since_;
    /// True once the platform has listed this process as not leaving.
    bool was_listed_as_live_ = false;
    time_point next_drain_check_ = time_point::max();
    bool stopped_ = false;
};

} // namespace lovagemoor::core
