#include "experiments.hpp"
#include "load.hpp"
#include "process_stats.hpp"
#include "workload.hpp"

#include <string>

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds accepted_staleness = 5s;
constexpr double goal_p99_ratio = 2;

/// Scheduling under test: long statements have bulk priority, or normal priority in the baseline.
struct scheduling_variant {
    std::string name;
    core::urgency long_priority;
    std::string extra_settings;
};

/// Rates, timeouts and durations that both phases of a variant share.
struct phase_setup {
    double short_rate;
    double long_rate;
    /// Long statements per second that all slots together could execute.
    double all_slots_rate;
    /// Long statements per second that the slots open to bulk work could execute.
    double bulk_slots_rate;
    std::chrono::microseconds short_timeout;
    std::chrono::microseconds long_timeout;
    std::chrono::microseconds long_time;
    std::chrono::seconds phase;
    std::chrono::seconds warmup;
};

struct phase_result {
    stream_result short_work;
    stream_result long_work;
    double long_done_per_second = 0;
};

phase_setup make_setup(const parameters& values, const testbed::cluster_options& options) {
    phase_setup setup{};
    setup.long_time = values.milliseconds("long_ms");
    const double per_slot = 1 / std::chrono::duration<double>(setup.long_time).count();
    const double targets = options.groups * options.targets_per_group;
    setup.all_slots_rate = targets * options.slots * per_slot;
    setup.bulk_slots_rate = targets * (options.slots - 1) * per_slot;
    setup.long_rate = values.get<double>("long_load") * setup.all_slots_rate;
    setup.short_rate = values.get<double>("short_rate");
    setup.short_timeout = values.milliseconds("short_timeout_ms");
    setup.long_timeout = values.milliseconds("long_timeout_ms");
    setup.phase = std::chrono::seconds{values.get<int>("phase_s")};
    setup.warmup = std::chrono::seconds{values.get<int>("warmup_s")};
    return setup;
}

request_stream make_short_stream(const phase_setup& setup) {
    const double rate = setup.short_rate;
    return {"short", [rate](std::chrono::microseconds) { return rate; }, rate,
            [timeout = setup.short_timeout](std::mt19937_64& random) {
                core::execute_request request = testbed::select_order("1");
                request.shard_key = draw_shard_key(random);
                request.timeout = timeout;
                if (std::bernoulli_distribution{}(random)) {
                    request.max_staleness = accepted_staleness;
                }
                return request;
            }};
}

request_stream make_long_stream(const phase_setup& setup, core::urgency priority) {
    const double rate = setup.long_rate;
    return {"long", [rate](std::chrono::microseconds) { return rate; }, rate,
            [setup, priority](std::mt19937_64& random) {
                core::execute_request request = testbed::sleep_statement(
                    std::chrono::duration_cast<std::chrono::milliseconds>(setup.long_time));
                request.shard_key = draw_shard_key(random);
                request.priority = priority;
                request.timeout = setup.long_timeout;
                request.max_staleness = accepted_staleness;
                return request;
            }};
}

phase_result run_phase(std::vector<testbed::caller_client>& clients,
                       const std::vector<request_stream>& streams, const phase_setup& setup,
                       std::mt19937_64& random) {
    phase_result result;
    std::uint64_t long_done = 0;
    run_open_loop(clients, streams, setup.phase, random, [&](const load_reply& reply) {
        const bool is_long = reply.stream.name == "long";
        const bool is_after_warmup = reply.intended >= setup.warmup;
        if (is_after_warmup) {
            (is_long ? result.long_work : result.short_work).add(reply);
        }
        const bool answered_in_window =
            reply.answered >= setup.warmup && reply.answered < setup.phase;
        long_done += is_long && answered_in_window && reply.reply.is_done() ? 1U : 0U;
    });
    result.long_done_per_second = static_cast<double>(long_done) /
                                  std::chrono::duration<double>(setup.phase - setup.warmup).count();
    return result;
}

double latency_ratio(std::chrono::microseconds with_long, std::chrono::microseconds without_long) {
    return static_cast<double>(with_long.count()) / static_cast<double>(without_long.count());
}

void run_variant(const parameters& values, const scheduling_variant& item) {
    testbed::cluster_options options = make_options(values);
    options.extra_settings = item.extra_settings;
    const phase_setup setup = make_setup(values, options);
    testbed::cluster system{options};
    std::vector<testbed::caller_client> clients =
        connect_clients(system, values.get<std::size_t>("clients_per_host"));
    std::mt19937_64 random{values.get<std::uint64_t>("seed")};
    const phase_result without_long = run_phase(clients, {make_short_stream(setup)}, setup, random);
    const double primary_before = sum_counter(system, "reads_total", "role=\"primary\"");
    const double replica_before = sum_counter(system, "reads_total", "role=\"replica\"");
    const phase_result with_long =
        run_phase(clients, {make_short_stream(setup), make_long_stream(setup, item.long_priority)},
                  setup, random);
    print_value(item.name + ".with.reads_on_primaries",
                sum_counter(system, "reads_total", "role=\"primary\"") - primary_before);
    print_value(item.name + ".with.reads_on_replicas",
                sum_counter(system, "reads_total", "role=\"replica\"") - replica_before);
    without_long.short_work.print(item.name + ".without.short");
    with_long.short_work.print(item.name + ".with.short");
    with_long.long_work.print(item.name + ".with.long");
    print_value(item.name + ".p50_ratio",
                latency_ratio(with_long.short_work.done_latencies.quantile(0.5),
                              without_long.short_work.done_latencies.quantile(0.5)));
    print_value(item.name + ".p99_ratio",
                latency_ratio(with_long.short_work.done_latencies.quantile(0.99),
                              without_long.short_work.done_latencies.quantile(0.99)));
    print_value(item.name + ".long_done_per_s", with_long.long_done_per_second);
    print_value(item.name + ".long_share_of_all_slots",
                with_long.long_done_per_second / setup.all_slots_rate);
    print_value(item.name + ".long_share_of_bulk_slots",
                with_long.long_done_per_second / setup.bulk_slots_rate);
}

} // namespace

void run_blocking(const parameters& values) {
    run_variant(values, {"ours", core::urgency::bulk, ""});
    run_variant(values,
                {"fifo", core::urgency::normal, "[scheduling]\nbulk_threshold_ms = 3600000"});
    print_value("goal.p99_ratio", goal_p99_ratio);
}

} // namespace lovagemoor::bench
