#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/organisation_id.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/pool/target_connection.hpp>
#include <lovagemoor/proxy/registry/target_record.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief State of a target and of the connections to it.
struct target_state {
    target_record record;
    /// Time at which the registry first reported the target as draining.
    core::time_point draining_since;
    /// Time at which the registry removed the target. Empty while the target is listed.
    std::optional<core::time_point> removed_at;
    std::vector<core::connection_id> idle;
    unsigned opening = 0;
    /// Number of connections that are kept open even if idle.
    unsigned min_connections = 0;
    unsigned in_use = 0;
    /// Number of the above that are borrowed.
    unsigned borrowed = 0;
    /// Connections to the target are borrowed if possible.
    bool through_holders = false;
    /// Earliest time of the next request to a holder.
    core::time_point borrow_after;
    /// Number of the borrowed connections that are only used for checks of the target.
    unsigned checking = 0;
    /// Last time at which a holder in another failure domain said that the target does not answer.
    core::time_point lost_at_holder;
    /// Earliest time at which a target that failed is checked again through a holder.
    core::time_point recheck_after;
    /// Number of consecutive checks that failed through a holder.
    unsigned failed_check_loans = 0;
    /// Time of the last reply or successful connect.
    core::time_point last_contact;
    /// Latest time at which a command was sent that the target answered.
    core::time_point last_answered;
    /// Time of the first failure since the last contact.
    std::optional<core::time_point> failing_since;
    core::time_point last_probe;
    /// Number of consecutive failed connects.
    unsigned connect_failures = 0;
    /// Earliest time of the next connect.
    core::time_point connect_after;
    /// Until this time, new statements go to other targets if possible.
    core::time_point avoid_until;
    /// Until this time, reads that require a log position go to other targets, because the log of
    /// this one was behind.
    core::time_point lagging_until;
    /// Moving average of statement latency, including queueing at the target.
    core::duration mean_latency = std::chrono::milliseconds{20};

    [[nodiscard]] unsigned connections() const noexcept {
        return static_cast<unsigned>(idle.size()) + opening + in_use;
    }

    /// @return Number of connections that this host has opened itself.
    [[nodiscard]] unsigned own_connections() const noexcept { return connections() - borrowed; }
};

/// @brief Known targets and the connections to them.
class target_pool {
public:
    /// @brief Adds a target or updates its record.
    /// @return Connections to a previous process of the target. The caller must close them.
    [[nodiscard]] std::vector<target_connection> update(const target_record& record,
                                                        core::time_point now);

    /// @brief Removes a target.
    /// @return Connections to the target. The caller must close them.
    [[nodiscard]] std::vector<target_connection> remove(const core::target_id& target);

    [[nodiscard]] target_state* find(const core::target_id& target);
    [[nodiscard]] target_connection* find(core::connection_id connection);

    [[nodiscard]] std::map<core::target_id, target_state>& targets() noexcept { return targets_; }

    [[nodiscard]] const std::map<core::target_id, target_state>& targets() const noexcept {
        return targets_;
    }

    [[nodiscard]] const std::map<core::connection_id, target_connection>&
    connections() const noexcept {
        return connections_;
    }

    /// @return The targets of a service.
    [[nodiscard]] std::vector<target_state*> of_service(const core::service_id& service);

    /// @brief Registers a connection that is being opened.
    target_connection& open(target_state& target, core::connection_id id,
                            const core::organisation_id& organisation, core::time_point now);

    /// @brief Registers a connection that is being borrowed.
    target_connection& borrow(target_state& target, core::connection_id id,
                              const core::organisation_id& organisation,
                              const core::host_id& holder, core::time_point now);

    /// @brief Marks a connection as open and idle.
    void on_opened(target_connection& connection, core::time_point now);

    /// @brief Takes an idle connection, preferably one that the session used before.
    /// @param organisation Organisation of the connection; empty to take any, for commands of this
    /// host.
    /// @return nullptr if none is idle.
    [[nodiscard]] target_connection*
    acquire(target_state& target, session_id session,
            const std::optional<core::organisation_id>& organisation, core::time_point now);

    /// @return True if a connection of the organisation is idle.
    [[nodiscard]] bool has_idle(const target_state& target,
                                const core::organisation_id& organisation) const;

    /// @brief Returns a connection that has no transaction and expects no reply.
    void release(target_connection& connection, core::time_point now);

    /// @brief Removes a connection.
    void erase(core::connection_id connection);

private:
    void detach(const target_connection& connection);

    std::map<core::target_id, target_state> targets_;
    /// Pointers refer to elements of targets_.
    std::map<core::service_id, std::map<core::target_id, target_state*>> services_;
    std::map<core::connection_id, target_connection> connections_;
};

} // namespace lovagemoor::proxy
