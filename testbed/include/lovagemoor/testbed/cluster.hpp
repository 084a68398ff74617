#pragma once

#include <lovagemoor/testbed/caller_client.hpp>
#include <lovagemoor/testbed/child_process.hpp>
#include <lovagemoor/testbed/link_relay.hpp>
#include <lovagemoor/testbed/platform_client.hpp>
#include <lovagemoor/testbed/target_client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Size, timing and settings of a cluster of real processes on loopback.
struct cluster_options {
    std::uint32_t domains = 3;
    /// Number of hosts, which are assigned to the failure domains in round-robin order.
    std::uint32_t hosts = 3;
    std::uint32_t groups = 1;
    /// Number of targets per group. They are assigned to the failure domains in round-robin order;
    /// each group starts one domain further than the group before.
    std::uint32_t targets_per_group = 3;
    std::uint32_t slots = 5;
    std::uint32_t connections_per_target = 20;
    std::uint32_t max_connections = 70;
    std::chrono::milliseconds connection_cost{0};
    std::chrono::microseconds service_time{0};
    /// One-way delay between hosts, and between targets.
    std::chrono::microseconds link_delay{0};
    std::chrono::milliseconds max_staleness{5000};
    core::durability durability = core::durability::replicated;
    /// Lines that are appended to each host's settings file.
    std::string extra_settings;
};

/// @brief A host that the cluster has started.
struct cluster_host {
    core::host_id id;
    core::domain_id domain;
    /// Address from which the host connects to other hosts. Relays identify its links by it.
    std::string source_address;
    std::string caller_address;
    std::string operator_address;
    std::string metrics_address;
    std::string settings_path;
    std::unique_ptr<link_relay> relay;
    std::unique_ptr<child_process> process;
};

/// @brief A stand-in target that the cluster has started.
struct cluster_target {
    core::target_id id;
    core::group_id group;
    core::domain_id domain;
    std::uint16_t port = 0;
    std::unique_ptr<child_process> process;
};

/// @brief Runs the platform's stand-in, stand-in targets and hosts as processes on loopback ports.
class cluster {
public:
    static constexpr const char* service_name = "orders-db";

    /// @brief Starts all processes, then waits until each group has a primary that accepts writes
    /// and each host answers a read.
    /// @throws std::runtime_error if a process doesn't start or doesn't become ready.
    explicit cluster(const cluster_options& options);
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;
    cluster(cluster&&) = delete;
    cluster& operator=(cluster&&) = delete;
    ~cluster();

    [[nodiscard]] std::vector<cluster_host>& hosts() noexcept { return hosts_; }

    [[nodiscard]] std::vector<cluster_target>& targets() noexcept { return targets_; }

    [[nodiscard]] platform_client& platform() noexcept { return *platform_; }

    [[nodiscard]] cluster_target& find_target(const core::target_id& id);

    /// @return The target that the group's term record names as the primary.
    [[nodiscard]] cluster_target& find_primary(const core::group_id& group);

    /// @brief Kills the host's process if it is running, and starts the host again on new ports.
    void restart_host(std::size_t index);

    /// @brief Cuts the links between one failure domain and the others: the links between hosts,
    /// the replication links and the connections from hosts to targets.
    /// @param from_platform Whether the domain's hosts also lose their connection to the platform.
    void isolate_domain(const core::domain_id& domain, bool from_platform);

    /// @brief Restores all links that `isolate_domain` cut.
    void restore_links();

    /// @return The directory with the log and settings files of all processes.
    [[nodiscard]] const std::string& directory() const noexcept { return directory_; }

private:
    void start_platform();
    void start_targets();
    void start_hosts();
    void start_host(cluster_host& host);
    void write_records();
    void wait_for_primaries();

    cluster_options options_;
    std::string directory_;
    std::unique_ptr<child_process> platform_process_;
    std::string platform_address_;
    std::unique_ptr<platform_client> platform_;
    std::vector<cluster_target> targets_;
    std::vector<cluster_host> hosts_;
};

/// @brief Evaluates a condition repeatedly until it is true.
/// @return False if the condition doesn't become true within the timeout.
[[nodiscard]] bool wait_until(std::chrono::milliseconds timeout,
                              const std::function<bool()>& condition);

/// @brief Create requests on the orders table of the stand-in target.
/// @{
[[nodiscard]] core::execute_request insert_order(const std::string& id, const std::string& kit,
                                                 std::uint32_t quantity);
[[nodiscard]] core::execute_request update_order(const std::string& id, std::uint32_t quantity);
[[nodiscard]] core::execute_request select_order(const std::string& id);
[[nodiscard]] core::execute_request sleep_statement(std::chrono::milliseconds duration);
/// @}

} // namespace lovagemoor::testbed
