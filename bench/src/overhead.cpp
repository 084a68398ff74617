#include "experiments.hpp"
#include "load.hpp"
#include "process_stats.hpp"
#include "workload.hpp"

#include <functional>
#include <thread>

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds accepted_staleness = 5s;

std::chrono::microseconds elapsed(clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - start);
}

/// Creates the statements of the experiment. An empty shard key stands for a random one, which
/// spreads the statements over all groups.
class statement_generator {
public:
    explicit statement_generator(std::uint64_t seed) : random_{seed} {}

    [[nodiscard]] core::execute_request make(const std::string& kind, const std::string& key) {
        core::execute_request request =
            kind == "write" ? testbed::insert_order(std::to_string(++last_order_), "barn", 1)
                            : testbed::select_order("1");
        request.shard_key = key.empty() ? draw_shard_key(random_) : key;
        if (kind == "stale_read") {
            request.max_staleness = accepted_staleness;
        }
        return request;
    }

private:
    std::mt19937_64 random_;
    std::int64_t last_order_ = 0;
};

/// @return Processor time per second that all hosts together use without requests, in cores.
double measure_idle_cores(testbed::cluster& system, std::chrono::seconds duration) {
    const std::chrono::microseconds before = hosts_processor_time(system);
    std::this_thread::sleep_for(duration);
    return std::chrono::duration<double>(hosts_processor_time(system) - before).count() /
           std::chrono::duration<double>(duration).count();
}

void measure_sequence(testbed::cluster& system, const std::string& prefix, int statements,
                      double idle_cores, const std::function<bool()>& execute) {
    latency_histogram latencies;
    std::uint64_t not_done = 0;
    const std::chrono::microseconds processor_before = hosts_processor_time(system);
    const clock::time_point start = clock::now();
    for (int index = 0; index < statements; ++index) {
        const clock::time_point sent = clock::now();
        not_done += execute() ? 0U : 1U;
        latencies.add(elapsed(sent));
    }
    const double wall = std::chrono::duration<double>(elapsed(start)).count();
    const double used =
        std::chrono::duration<double>(hosts_processor_time(system) - processor_before).count();
    print_value(prefix + ".p50_ms", latencies.quantile(0.5));
    print_value(prefix + ".p99_ms", latencies.quantile(0.99));
    print_value(prefix + ".hosts_cpu_us_per_statement",
                (used - idle_cores * wall) * 1e6 / statements);
    print_value(prefix + ".not_done", not_done);
}

void measure_saturation(testbed::cluster& system, std::vector<testbed::caller_client>& clients,
                        const parameters& values, statement_generator& generator,
                        const std::string& kind) {
    const std::chrono::seconds duration{values.get<int>("saturation_s")};
    const std::chrono::microseconds before = hosts_processor_time(system);
    const clock::time_point start = clock::now();
    const double rate = run_saturated(clients, values.get<std::size_t>("outstanding"), duration,
                                      [&] { return generator.make(kind, ""); });
    const double wall = std::chrono::duration<double>(elapsed(start)).count();
    const double cores =
        std::chrono::duration<double>(hosts_processor_time(system) - before).count() / wall;
    print_value("saturated." + kind + ".statements_per_s", rate);
    print_value("saturated." + kind + ".hosts_cores", cores);
    print_value("saturated." + kind + ".statements_per_s_per_core", rate / cores);
}

} // namespace

void run_overhead(const parameters& values) {
    testbed::cluster_options options = make_options(values);
    options.link_delay = values.milliseconds("link_delay_ms");
    testbed::cluster system{options};
    const testbed::cluster_target& primary = system.find_primary(group_name(0));
    const std::string key = find_shard_key(options, group_name(0));
    const int statements = values.get<int>("statements");
    statement_generator generator{values.get<std::uint64_t>("seed")};
    const double idle_cores =
        measure_idle_cores(system, std::chrono::seconds{values.get<int>("idle_s")});
    print_value("idle.hosts_cores", idle_cores);

    testbed::target_client target{primary.port};
    measure_sequence(system, "direct.read", statements, idle_cores,
                     [&target] { return target.query("SELECT count(*) FROM orders").size() == 1; });
    bool forward_measured = false;
    for (const testbed::cluster_host& host : system.hosts()) {
        const bool is_owner = host.domain == primary.domain;
        if (!is_owner && forward_measured) {
            continue;
        }
        forward_measured = forward_measured || !is_owner;
        testbed::caller_client client{host.caller_address};
        for (const std::string kind : {"fresh_read", "write"}) {
            measure_sequence(system, (is_owner ? "owner." : "forward.") + kind, statements,
                             idle_cores,
                             [&] { return client.execute(generator.make(kind, key)).is_done(); });
        }
    }
    std::vector<testbed::caller_client> clients =
        connect_clients(system, values.get<std::size_t>("clients_per_host"));
    for (const std::string kind : {"fresh_read", "stale_read", "write"}) {
        measure_saturation(system, clients, values, generator, kind);
    }
}

} // namespace lovagemoor::bench
