#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/cluster_view.hpp>
#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/peer_message.hpp>
#include <lovagemoor/core/settings.hpp>
#include <lovagemoor/core/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace lovagemoor::core {

/// @brief Number of low bits of an incarnation that count refutations. The high bits identify the
/// process.
///
/// A process starts with an incarnation whose low bits are zero and whose high bits are greater
/// than those of the host's earlier processes, for example the milliseconds since the epoch.
inline constexpr unsigned refutation_bits = 16;

/// @return True if both incarnations belong to the same process, false if the host was restarted.
[[nodiscard]] constexpr bool is_same_process(incarnation_number left,
                                             incarnation_number right) noexcept {
    return left >> refutation_bits == right >> refutation_bits;
}

/// @brief Membership by the SWIM protocol (Das, Gupta, Motivala 2002).
///
/// In each interval one member is pinged, first directly and then through other members. A member
/// that answers neither is suspected, and is declared dead unless it refutes the suspicion in time.
/// State changes are piggybacked on these messages, so the traffic per host does not depend on the
/// number of hosts. Two rules differ from the paper. Gossip that declares a member dead which this
/// host regards as alive only makes the member suspect, so that after a partition no member is
/// declared dead that can still refute. Dead members, seeds and listed hosts that are no members
/// are contacted again at a low rate, so that the halves of a partition merge again.
class membership {
public:
    membership(const core_settings& settings, cluster_view& view, std::mt19937_64& random);

    /// @brief Starts the protocol. Unreachable seeds are tried again.
    /// @param seeds Hosts to ask for the member list. Their identifiers may be empty when unknown.
    void join(time_point now, const std::vector<host_record>& seeds, action_list& actions);

    void on_ping(time_point now, const host_id& from, const membership_ping& message,
                 action_list& actions);
    void on_ack(time_point now, const host_id& from, const membership_ack& message,
                action_list& actions);
    void on_ping_request(time_point now, const host_id& from,
                         const membership_ping_request& message, action_list& actions);
    void on_sync(time_point now, const host_id& from, const membership_sync& message,
                 action_list& actions);
    void on_timer(time_point now, action_list& actions);

    /// @brief Announces that this host is leaving. The protocol continues until the process ends.
    void leave(time_point now, action_list& actions);

    /// @return Hosts that were declared dead or restarted since the last call.
    [[nodiscard]] std::vector<host_id> take_lost_hosts();

    [[nodiscard]] time_point next_wakeup() const;

private:
    struct pending_ping {
        host_id subject;
        time_point sent_at;
        bool asked_others = false;
    };

    /// A ping that this host sends on behalf of another host.
    struct relayed_ping {
        host_id requester;
        std::uint64_t sequence = 0;
        host_id subject;
        time_point expires_at;
    };

    struct ping_order {
        std::vector<host_id> hosts;
        std::size_t next = 0;
    };

    void merge(time_point now, const gossip_header& gossip, action_list& actions);
    void merge_sender(time_point now, const member_update& sender, action_list& actions);
    void merge_update(time_point now, member_update update);
    void merge_own_state(const member_update& update);
    void store(time_point now, const member_update& update);
    void announce(const host_id& host);

    void start_round(time_point now, action_list& actions);
    void check_pings(time_point now, action_list& actions);
    void check_suspicions(time_point now);
    /// Drops the pending pings and extends the suspicions by the time for which this process was
    /// paused.
    void compensate_for_pause(duration pause);
    void suspect(time_point now, const host_id& host, action_list& actions);
    /// Contacts seeds, dead members and listed hosts that are not running members.
    void contact_absent_hosts(time_point now, action_list& actions);
    void remove_expired_dead(time_point now);

    [[nodiscard]] std::optional<host_id> next_member();
    [[nodiscard]] std::optional<host_id> next_in(ping_order& order);
    [[nodiscard]] std::vector<host_id> random_members(std::size_t count, const host_id& except);
    [[nodiscard]] std::vector<host_record> absent_hosts() const;
    [[nodiscard]] bool has_live_member() const;

    [[nodiscard]] member_update own_update() const;
    [[nodiscard]] gossip_header make_header(const host_id& receiver);
    void send(const host_id& to, peer_message message, action_list& actions);
    void send_ping(const host_id& to, std::uint64_t sequence, action_list& actions);
    void send_sync(const host_id& to, const std::string& address, bool is_reply,
                   action_list& actions);

    const core_settings& settings_;
    cluster_view& view_;
    std::mt19937_64& random_;
    std::vector<host_record> seeds_;
    bool joined_ = false;
    std::uint64_t last_sequence_ = 0;
    std::map<std::uint64_t, pending_ping> pings_;
    std::map<std::uint64_t, relayed_ping> relayed_;
    std::map<host_id, time_point> suspected_until_;
    std::map<host_id, time_point> dead_since_;
    /// Members that this host regards as dead and another host has reported as running.
    std::set<host_id> reported_alive_;
    /// Members whose state is still being gossiped, with the number of messages left to carry it.
    std::map<host_id, std::uint32_t> announcements_;
    std::array<ping_order, 2> orders_;
    std::uint32_t round_ = 0;
    time_point next_ping_ = time_point::max();
    time_point next_contact_ = time_point::max();
    time_point next_sync_;
    std::vector<host_id> lost_hosts_;
};

} // namespace lovagemoor::core
