#pragma once

#include <lovagemoor/core/ids.hpp>
#include <lovagemoor/core/time.hpp>
#include <lovagemoor/proxy/pool/target_connection.hpp>
#include <lovagemoor/proxy/registry/target_record.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lovagemoor::proxy {

/// @brief What this host knows of a target, and its use of it.
struct target_state {
    target_record record;
    /// When the registry first said that it is draining.
    core::time_point draining_since;
    /// When the registry removed it; nothing while it is listed.
    std::optional<core::time_point> removed_at;
    std::vector<core::connection_id> idle;
    unsigned opening = 0;
    /// Connections kept open without use.
    unsigned min_connections = 0;
    unsigned in_use = 0;
    /// Last reply or opened connection.
    core::time_point last_contact;
    /// First failure since the last contact.
    std::optional<core::time_point> failing_since;
    core::time_point last_probe;
    /// Consecutive attempts to connect that failed.
    unsigned connect_failures = 0;
    /// No new connection before this time.
    core::time_point connect_after;
    /// New work goes elsewhere before this time, if it can.
    core::time_point avoid_until;
    /// Its log was behind what a read needed; reads with a bound go elsewhere before this time.
    core::time_point lagging_until;
    /// Mean time of a statement, with waiting at the target.
    core::duration mean_latency = std::chrono::milliseconds{20};

    [[nodiscard]] unsigned connections() const noexcept {
        return static_cast<unsigned>(idle.size()) + opening + in_use;
    }
};

/// @brief The connections to all targets.
class target_pool {
public:
    /// @return Connections to a former process of the target; the caller closes them.
    [[nodiscard]] std::vector<target_connection> update(const target_record& record,
                                                        core::time_point now);

    /// @brief Forgets a target.
    /// @return Its connections; the caller closes them.
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
    target_connection& open(target_state& target, core::connection_id id, core::time_point now);

    /// @brief The connection is open and idle.
    void on_opened(target_connection& connection, core::time_point now);

    /// @brief Takes an idle connection, rather one that the session used before.
    /// @return nullptr if none is idle.
    [[nodiscard]] target_connection* acquire(target_state& target, session_id session,
                                             core::time_point now);

    /// @brief Returns a connection that has no transaction and expects no reply.
    void release(target_connection& connection, core::time_point now);

    /// @brief Forgets a connection.
    void erase(core::connection_id connection);

private:
    void detach(const target_connection& connection);

    std::map<core::target_id, target_state> targets_;
    /// Points into targets_.
    std::map<core::service_id, std::map<core::target_id, target_state*>> services_;
    std::map<core::connection_id, target_connection> connections_;
};

} // namespace lovagemoor::proxy
