#include "fleet.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <numeric>
#include <string>

DEFINE_uint32(hosts, 15, "number of hosts");
DEFINE_uint64(seed, 1, "seed of the hosts' random numbers");
DEFINE_uint32(warm_up, 5, "simulated seconds before the measurement");
DEFINE_uint32(measured, 20, "simulated seconds of the measurement");
DEFINE_bool(joined, false, "all hosts know each other at the start, as after a long run");

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t targets_per_group = 3;
constexpr std::size_t large_fleet_min_hosts = 60;
constexpr double targets_per_host = 1.1;
/// Simulated time after which a change that has not reached all hosts is reported as not reached.
constexpr core::duration propagation_limit = 30s;

/// @return Resident memory of this process in kilobytes.
std::uint64_t resident_kilobytes() {
    std::ifstream status{"/proc/self/status"};
    std::string word;
    std::uint64_t value = 0;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> value;
            break;
        }
    }
    return value;
}

fleet_options make_options() {
    fleet_options options;
    options.hosts = FLAGS_hosts;
    options.domains = options.hosts < large_fleet_min_hosts ? 4 : 16;
    options.groups = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(options.hosts) * targets_per_host) /
               targets_per_group);
    options.seed = FLAGS_seed;
    options.joined = FLAGS_joined;
    return options;
}

double seconds(core::duration value) {
    return std::chrono::duration<double>{value}.count();
}

template <typename Value>
void print(const std::string& name, const Value& value) {
    std::cout << name << "=" << value << std::endl;
}

void print_kinds(const fleet_load& load, double host_seconds) {
    const double cpu = static_cast<double>(
        std::accumulate(load.cpu.begin(), load.cpu.end(), std::chrono::nanoseconds{0}).count());
    for (const auto& [kind, kind_totals] : load.load_by_kind) {
        std::cout << "kind=" << kind << " messages_per_host_s="
                  << static_cast<double>(kind_totals.messages) / host_seconds
                  << " bytes_per_host_s=" << static_cast<double>(kind_totals.bytes) / host_seconds
                  << " cpu_share=" << static_cast<double>(kind_totals.cpu.count()) / cpu
                  << std::endl;
    }
    for (const auto& [kind, calls] : load.control_calls) {
        print("control_" + kind + "_per_host_s", static_cast<double>(calls) / host_seconds);
    }
}

void print_load(const fleet& hosts, double measured_seconds) {
    const fleet_load& load = hosts.load();
    const double count = static_cast<double>(load.cpu.size());
    const double host_seconds = count * measured_seconds;
    const auto per_host = [host_seconds](std::uint64_t sum) {
        return static_cast<double>(sum) / host_seconds;
    };
    const auto worst = [measured_seconds](const std::vector<std::uint64_t>& values) {
        return static_cast<double>(*std::max_element(values.begin(), values.end())) /
               measured_seconds;
    };
    const auto sum = [](const std::vector<std::uint64_t>& values) {
        return std::accumulate(values.begin(), values.end(), std::uint64_t{0});
    };
    print("bytes_sent_per_host_s", per_host(sum(load.bytes_sent)));
    print("bytes_sent_worst_host_s", worst(load.bytes_sent));
    print("bytes_received_worst_host_s", worst(load.bytes_received));
    std::uint64_t messages = 0;
    for (const auto& [kind, kind_totals] : load.load_by_kind) {
        messages += kind_totals.messages;
    }
    print("messages_per_host_s", per_host(messages));
    std::uint64_t cpu = 0;
    for (const std::chrono::nanoseconds used : load.cpu) {
        cpu += static_cast<std::uint64_t>(used.count());
    }
    print("cpu_us_per_host_s", per_host(cpu) / 1000);
    const auto worst_cpu = *std::max_element(load.cpu.begin(), load.cpu.end());
    print("cpu_us_worst_host_s", static_cast<double>(worst_cpu.count()) / measured_seconds / 1000);
    std::uint64_t calls = 0;
    for (const auto& [kind, number] : load.control_calls) {
        calls += number;
    }
    print("control_calls_per_host_s", per_host(calls));
    const platform_load& platform = hosts.platform().load();
    const auto platform_rate = [measured_seconds](std::uint64_t now, std::uint64_t before) {
        return static_cast<double>(now - before) / measured_seconds;
    };
    print("platform_reads_s", platform_rate(platform.reads, load.platform_start.reads));
    print("platform_records_read_s",
          platform_rate(platform.records_read, load.platform_start.records_read));
    print("platform_writes_s", platform_rate(platform.writes, load.platform_start.writes));
    print("open_watches", hosts.platform().watchers().size());
    print("longest_event_us", static_cast<double>(load.longest_event_cpu.count()) / 1000);
    print_kinds(load, host_seconds);
}

/// @brief Runs the simulation until the condition has held on all hosts and prints the simulated
/// time that this took.
void print_propagation_time(fleet& hosts, const std::string& name, core::time_point start,
                            const std::function<bool(const core::cluster_view&)>& condition) {
    hosts.holds_on_all_hosts(condition, true);
    hosts.reset_load();
    const core::time_point end = start + propagation_limit;
    const core::time_point reached =
        hosts.run_until(end, [&] { return hosts.holds_on_all_hosts(condition); });
    print(name + (reached < end ? "_s" : "_not_within_s"), seconds(reached - start));
    const std::vector<std::chrono::nanoseconds>& cpu = hosts.load().cpu;
    const std::chrono::nanoseconds used =
        std::accumulate(cpu.begin(), cpu.end(), std::chrono::nanoseconds{0});
    print(name + "_cpu_us_per_host",
          static_cast<double>(used.count()) / 1000 / static_cast<double>(cpu.size()));
    print(name + "_longest_event_us",
          static_cast<double>(hosts.load().longest_event_cpu.count()) / 1000);
}

void measure_configuration_change(fleet& hosts) {
    core::service_record service = hosts.first_service();
    service.connections_per_target += 1;
    const core::time_point start = hosts.now();
    hosts.call_operator(0,
                        core::change_configuration{0, "operation-1", core::put_service{service}});
    print_propagation_time(
        hosts, "configuration_everywhere", start,
        [](const core::cluster_view& view) { return view.current_configuration().version >= 2; });
}

void measure_host_stop(fleet& hosts) {
    const std::size_t number = FLAGS_hosts / 2;
    const core::host_id stopped{"host-" + std::to_string(number)};
    hosts.stop_host(number);
    print_propagation_time(
        hosts, "death_everywhere", hosts.now(), [stopped](const core::cluster_view& view) {
            const core::member_update* member = view.find_member(stopped);
            return member == nullptr || member->state == core::member_state::dead;
        });
}

void measure_primary_stop(fleet& hosts) {
    const core::group_id group{"group-0"};
    const core::time_point start = hosts.now();
    hosts.stop_target(core::target_id{"group-0-0"});
    const auto is_serving = [group](const core::cluster_view& view) {
        const core::term_record* term = view.find_term(group);
        return term != nullptr && term->term > 1 && term->phase == core::term_phase::serving;
    };
    const core::time_point end = start + propagation_limit;
    const core::time_point written =
        hosts.run_until(end, [&] { return hosts.platform().is_serving(group, 2); });
    print(written < end ? "new_term_serving_s" : "new_term_not_within_s", seconds(written - start));
    print_propagation_time(hosts, "new_term_everywhere", start, is_serving);
}

void run() {
    const fleet_options options = make_options();
    print("hosts", options.hosts);
    print("targets", options.groups * targets_per_group);
    print("domains", options.domains);
    print("seed", options.seed);
    print("joined", options.joined);
    const std::uint64_t memory_before = resident_kilobytes();
    fleet hosts{options};
    hosts.run_until(hosts.now() + std::chrono::seconds{FLAGS_warm_up});
    print("warm_up_cpu_s", std::chrono::duration<double>{process_cpu_time()}.count());
    print("unknown_members_at_start", hosts.count_unknown_members());
    print("differing_views_at_start", hosts.count_differing_views());
    hosts.reset_load();
    const std::chrono::nanoseconds cpu_before = process_cpu_time();
    hosts.run_until(hosts.now() + std::chrono::seconds{FLAGS_measured});
    const std::chrono::nanoseconds cpu_used = process_cpu_time() - cpu_before;
    // This value includes the event queue, the platform, the targets and the reading of the
    // processor time.
    print("cpu_us_per_host_s_with_simulation", static_cast<double>(cpu_used.count()) / 1000 /
                                                   static_cast<double>(options.hosts) /
                                                   FLAGS_measured);
    print_load(hosts, FLAGS_measured);
    print("unknown_members_at_end", hosts.count_unknown_members());
    print("differing_views_at_end", hosts.count_differing_views());
    print("memory_kb_per_host", (resident_kilobytes() - memory_before) / options.hosts);
    measure_configuration_change(hosts);
    measure_host_stop(hosts);
    measure_primary_stop(hosts);
    print("cpu_s", std::chrono::duration<double>{process_cpu_time()}.count());
}

} // namespace

} // namespace lovagemoor::bench

int main(int argc, char** argv) {
    try {
        gflags::SetUsageMessage("measures the cost of the control path in simulated time");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        lovagemoor::bench::run();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
