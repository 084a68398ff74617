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
#include <optional>
#include <random>
#include <vector>

namespace lovagemoor::core {

/// @brief Keeps this host's copy of the platform's records up to date.
///
/// A few hosts of each failure domain watch the platform. Hosts push changes to each other, and a
/// host whose digest differs from the one in a membership message pulls the missing records from
/// the sender. The copy stays in use while the platform is unreachable.
class view_sync {
public:
    view_sync(const core_settings& settings, cluster_view& view, id_source& ids,
              std::mt19937_64& random);

    /// @brief Registers this host and reads the whole view. Both calls are retried until they
    /// succeed.
    void start(time_point now, action_list& actions);

    /// @brief Writes this host's record again. Must be called after cluster_view::set_leaving().
    void register_leaving(time_point now, action_list& actions);

    /// @brief Applies records that this host read from or wrote to the platform and pushes them to
    /// other hosts.
    void publish(time_point now, const std::vector<platform_record>& records, action_list& actions);

    /// @return True if the call was issued by this object.
    bool on_platform_finished(time_point now, const platform_finished& finished,
                              action_list& actions);
    void on_platform_changed(time_point now, const platform_changed& changed, action_list& actions);
    void on_watch_lost(time_point now, action_list& actions);

    void on_push(time_point now, const host_id& from, const view_push& message,
                 action_list& actions);
    void on_request(time_point now, const host_id& from, const view_request& message,
                    action_list& actions);
    void on_reply(time_point now, const host_id& from, const view_reply& message,
                  action_list& actions);

    /// @brief Compares the sender's digest with this host's. Must be called for each membership
    /// message.
    void on_gossip(time_point now, const host_id& from, const gossip_header& gossip,
                   action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @return True if a record has been applied since the last call.
    [[nodiscard]] bool take_changed();

    /// @return True while this host watches the platform.
    [[nodiscard]] bool is_watching() const noexcept { return is_watching_; }

    [[nodiscard]] time_point next_wakeup() const;

private:
    /// A call to the platform that is repeated until it succeeds.
    struct repeated_call {
        std::optional<call_id> call;
        /// When the call is issued next; time_point::max() when none is planned.
        time_point due = time_point::max();
        duration backoff{0};
    };

    /// A difference from another host's digest that a push on its way may still resolve.
    struct observed_difference {
        host_id peer;
        std::uint64_t peer_digest = 0;
        std::uint64_t own_digest = 0;
        time_point since;
        time_point wait_since;
    };

    void issue(time_point now, repeated_call& repeated, const platform_call& request,
               action_list& actions);
    void issue_due(time_point now, action_list& actions);
    void retry(time_point now, repeated_call& repeated);
    void finish_watch(time_point now, const platform_result& result);
    void finish_read(time_point now, const platform_result& result, action_list& actions);
    /// Schedules a call that starts or stops the watch when this host's role has changed.
    void update_watch(time_point now);
    [[nodiscard]] bool is_watcher() const;

    void apply(const std::vector<platform_record>& records, std::uint32_t hops,
               action_list& actions);
    void push(const std::vector<platform_record>& records, std::uint32_t hops,
              action_list& actions);
    void pull(time_point now, const host_id& peer, action_list& actions);
    void check_difference(time_point now, action_list& actions);

    const core_settings& settings_;
    cluster_view& view_;
    id_source& ids_;
    std::mt19937_64& random_;
    repeated_call registration_;
    repeated_call reading_;
    repeated_call watching_;
    bool is_watching_ = false;
    /// Whether the latest set_watch call starts or stops the watch.
    bool requested_watch_ = false;
    bool has_read_ = false;
    bool is_changed_ = false;
    time_point next_check_ = time_point::max();
    time_point next_pull_;
    std::optional<observed_difference> difference_;
};

} // namespace lovagemoor::core
