#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief What a host without grants may run: its part of each organisation's floor.
struct quota_floor {
    /// Number of hosts among which the floor is divided; 0 if this host must not use it.
    std::size_t hosts = 0;
    core::time_point valid_until;

    friend bool operator==(const quota_floor&, const quota_floor&) = default;
};

/// @brief Counts the hosts among which the floor is divided.
///
/// The parts of all hosts that use the floor within one window must not exceed it, so each of them
/// must count all the others. A host uses the floor only while its registration cannot have ended,
/// and once every list that the others may rely on shows it. A host that left is counted for one
/// more window.
class quota_floor_hosts {
public:
    /// @param window Length of a window of the quota.
    /// @param lease_duration Duration of the lease of a registration.
    quota_floor_hosts(core::host_id host, std::chrono::milliseconds window,
                      std::chrono::milliseconds lease_duration);

    /// @param sent Time at which the call that granted or renewed the lease was sent.
    void on_lease_renewed(core::time_point sent);
    void on_lease_lost();

    /// @param hosts The complete list of registered hosts, up to list_staleness behind.
    void on_listed(core::time_point now, const std::vector<core::host_id>& hosts);

    [[nodiscard]] quota_floor floor(core::time_point now) const;

    /// Age of a list that may be stale when it is received, as in follower_settings.
    static constexpr std::chrono::milliseconds list_staleness{10000};
    /// Age of the newest list up to which the floor is used. Lists are read every 8 s.
    static constexpr std::chrono::milliseconds list_age_limit{20000};
    /// Part at the end of the lease in which the registration may have ended.
    static constexpr std::chrono::milliseconds lease_margin{500};

private:
    core::host_id host_;
    std::chrono::milliseconds window_;
    std::chrono::milliseconds lease_duration_;
    /// Known hosts with the time at which a list first lacked them.
    std::map<core::host_id, std::optional<core::time_point>> hosts_;
    std::optional<core::time_point> certain_until_;
    /// Time of the first of the consecutive lists that contain this host.
    std::optional<core::time_point> listed_since_;
    /// Time of the first of the lists that follow each other within list_age_limit.
    std::optional<core::time_point> fresh_since_;
    core::time_point last_list_;
};

} // namespace lovagemoor::proxy
