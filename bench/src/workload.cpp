#include "workload.hpp"

#include <lovagemoor/core/placement.hpp>

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;

/// Number of distinct shard keys. It is well above the number of groups, so the keys spread evenly.
constexpr std::uint32_t shard_key_count = 3000;

testbed::cluster_options make_profile_options(const std::string& name) {
    testbed::cluster_options options;
    options.groups = 3;
    options.targets_per_group = 3;
    options.link_delay = 1500us;
    if (name == "dalatimber") {
        options.domains = 4;
        options.slots = 5;
        options.connections_per_target = 70;
        options.max_connections = 70;
        options.connection_cost = 10ms;
        return options;
    }
    if (name == "halgeld") {
        options.domains = 3;
        options.slots = 2;
        options.connections_per_target = 60;
        options.max_connections = 60;
        options.connection_cost = 25ms;
        return options;
    }
    throw parameter_error{"unknown profile " + name};
}

} // namespace

testbed::cluster_options make_options(const parameters& values) {
    testbed::cluster_options options = make_profile_options(values.get<std::string>("profile"));
    options.hosts = values.get<std::uint32_t>("hosts");
    options.service_time = values.milliseconds("service_time_ms");
    return options;
}

std::vector<testbed::caller_client> connect_clients(testbed::cluster& system, std::size_t per_host,
                                                    const core::domain_id& excluded) {
    std::vector<testbed::caller_client> clients;
    for (std::size_t index = 0; index < per_host; ++index) {
        for (const testbed::cluster_host& host : system.hosts()) {
            if (host.domain != excluded) {
                clients.emplace_back(host.caller_address);
            }
        }
    }
    return clients;
}

std::string find_shard_key(const testbed::cluster_options& options, const core::group_id& group) {
    std::vector<core::group_id> groups;
    for (std::uint32_t index = 0; index < options.groups; ++index) {
        groups.push_back(group_name(index));
    }
    std::uint32_t number = 0;
    while (core::select_group(std::to_string(number), groups) != group) {
        ++number;
    }
    return std::to_string(number);
}

core::group_id group_name(std::uint32_t index) {
    return core::group_id{"g" + std::to_string(index)};
}

std::string draw_shard_key(std::mt19937_64& random) {
    return std::to_string(
        std::uniform_int_distribution<std::uint32_t>{0, shard_key_count - 1}(random));
}

std::int64_t parse_order_id(const std::string& text) {
    return std::stoll(text);
}

} // namespace lovagemoor::bench
