#include "experiments.hpp"
#include "load.hpp"
#include "workload.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds accepted_staleness = 5s;
constexpr double goal_throughput = 0.95;
constexpr double goal_urgent_ratio = 2;

/// Request timeouts of one run of the load.
struct time_limits {
    std::chrono::microseconds urgent{0};
    std::chrono::microseconds normal{0};
};

/// Creates the requests of the workload mix and numbers the inserted orders.
class request_mix {
public:
    explicit request_mix(const parameters& values)
        : urgent_write_{values.get<double>("urgent_write_share")},
          normal_write_{values.get<double>("normal_write_share")},
          fresh_read_{values.get<double>("fresh_read_share")} {}

    [[nodiscard]] core::execute_request urgent_write(const time_limits& limits) {
        core::execute_request request = insert();
        request.priority = core::urgency::urgent;
        request.idempotency_key = "tap-" + request.shard_key;
        request.timeout = limits.urgent;
        return request;
    }

    [[nodiscard]] core::execute_request normal_write(const time_limits& limits) {
        core::execute_request request = insert();
        request.timeout = limits.normal;
        return request;
    }

    [[nodiscard]] static core::execute_request read(const time_limits& limits, bool fresh,
                                                    std::mt19937_64& random) {
        core::execute_request request = testbed::select_order("1");
        request.shard_key = draw_shard_key(random);
        request.timeout = limits.normal;
        if (!fresh) {
            request.max_staleness = accepted_staleness;
        }
        return request;
    }

    /// @return A request whose kind is drawn according to the shares of the mix.
    [[nodiscard]] core::execute_request draw_request(const time_limits& limits,
                                                     std::mt19937_64& random) {
        const double drawn = std::uniform_real_distribution<double>{0, 1}(random);
        if (drawn < urgent_write_) {
            return urgent_write(limits);
        }
        if (drawn < urgent_write_ + normal_write_) {
            return normal_write(limits);
        }
        return read(limits, drawn < urgent_write_ + normal_write_ + fresh_read_, random);
    }

    /// @return One stream for each kind of request. Their rates add up to `rate`.
    [[nodiscard]] std::vector<request_stream> streams(const rate_function& rate, double peak,
                                                      const time_limits& limits) {
        const auto scaled = [&rate](double share) {
            return [rate, share](std::chrono::microseconds at) { return share * rate(at); };
        };
        const double stale_read = 1 - urgent_write_ - normal_write_ - fresh_read_;
        return {{"urgent_write", scaled(urgent_write_), urgent_write_ * peak,
                 [this, limits](std::mt19937_64&) { return urgent_write(limits); }},
                {"normal_write", scaled(normal_write_), normal_write_ * peak,
                 [this, limits](std::mt19937_64&) { return normal_write(limits); }},
                {"fresh_read", scaled(fresh_read_), fresh_read_ * peak,
                 [limits](std::mt19937_64& random) { return read(limits, true, random); }},
                {"stale_read", scaled(stale_read), stale_read * peak,
                 [limits](std::mt19937_64& random) { return read(limits, false, random); }}};
    }

private:
    [[nodiscard]] core::execute_request insert() {
        return testbed::insert_order(std::to_string(++last_order_), "barn", 1);
    }

    double urgent_write_;
    double normal_write_;
    double fresh_read_;
    std::int64_t last_order_ = 0;
};

/// Start and end of the load phases, relative to the start of the load.
struct load_phases {
    std::chrono::microseconds ramp_begin{0};
    std::chrono::microseconds ramp_end{0};
    std::chrono::microseconds end{0};
};

struct overload_result {
    /// Answers to requests that were due before the ramp or after it, by stream.
    std::map<std::string, stream_result> before;
    std::map<std::string, stream_result> after;
    /// Requests with the outcome `done` per second after the ramp.
    double done_per_second = 0;
    latency_histogram refusal_latencies;
    std::set<std::int64_t> refused_inserts;
    std::set<std::int64_t> done_inserts;
};

load_phases make_load_phases(const parameters& values) {
    load_phases phases;
    phases.ramp_begin = std::chrono::seconds{values.get<int>("base_s")};
    phases.ramp_end = phases.ramp_begin + std::chrono::seconds{values.get<int>("rise_s")};
    phases.end = phases.ramp_end + std::chrono::seconds{values.get<int>("crest_s")};
    return phases;
}

rate_function make_rate(const load_phases& phases, double base, double peak) {
    return [phases, base, peak](std::chrono::microseconds at) {
        const double ramp_fraction =
            static_cast<double>((at - phases.ramp_begin).count()) /
            static_cast<double>((phases.ramp_end - phases.ramp_begin).count());
        return base + (peak - base) * std::clamp(ramp_fraction, 0.0, 1.0);
    };
}

overload_result run_ramped_load(std::vector<testbed::caller_client>& clients,
                                const std::vector<request_stream>& streams,
                                const load_phases& phases, std::mt19937_64& random) {
    overload_result result;
    std::uint64_t done = 0;
    run_open_loop(clients, streams, phases.end, random, [&](const load_reply& reply) {
        if (reply.intended < phases.ramp_begin) {
            result.before[reply.stream.name].add(reply);
        } else if (reply.intended >= phases.ramp_end) {
            result.after[reply.stream.name].add(reply);
        }
        const std::string kind = outcome_kind_of(reply.reply);
        const bool in_window = reply.answered >= phases.ramp_end && reply.answered < phases.end;
        done += kind == "done" && in_window ? 1U : 0U;
        if (kind == "refused") {
            result.refusal_latencies.add(reply.answered - reply.intended);
        }
        if (reply.request.access == core::access_mode::write) {
            const std::int64_t order = parse_order_id(reply.request.shard_key);
            if (kind == "refused") {
                result.refused_inserts.insert(order);
            } else if (kind == "done") {
                result.done_inserts.insert(order);
            }
        }
    });
    result.done_per_second = static_cast<double>(done) /
                             std::chrono::duration<double>(phases.end - phases.ramp_end).count();
    return result;
}

std::set<std::int64_t> query_stored_orders(testbed::cluster& system, std::uint32_t groups) {
    std::set<std::int64_t> stored;
    for (std::uint32_t index = 0; index < groups; ++index) {
        testbed::target_client target{system.find_primary(group_name(index)).port};
        for (const std::vector<std::string>& row :
             target.query("SELECT id, kit, quantity FROM orders ORDER BY id")) {
            stored.insert(parse_order_id(row.front()));
        }
    }
    return stored;
}

void print_result(const std::string& prefix, const overload_result& result, double capacity,
                  const std::set<std::int64_t>& stored) {
    for (const auto& [name, answers] : result.before) {
        answers.print(join_key(prefix + ".base", name));
    }
    for (const auto& [name, answers] : result.after) {
        answers.print(join_key(prefix + ".crest", name));
    }
    print_value(prefix + ".done_per_s", result.done_per_second);
    print_value(prefix + ".throughput_share", result.done_per_second / capacity);
    const auto p99 = [](const std::map<std::string, stream_result>& answers) {
        return static_cast<double>(
            answers.at("urgent_write").done_latencies.quantile(0.99).count());
    };
    print_value(prefix + ".urgent_p99_ratio", p99(result.after) / p99(result.before));
    print_value(prefix + ".refusals", result.refusal_latencies.count());
    print_value(prefix + ".refusal_p50_ms", result.refusal_latencies.quantile(0.5));
    print_value(prefix + ".refusal_p99_ms", result.refusal_latencies.quantile(0.99));
    const auto count_stored = [&stored](const std::set<std::int64_t>& orders) {
        return static_cast<std::uint64_t>(
            std::count_if(orders.begin(), orders.end(),
                          [&stored](std::int64_t order) { return stored.contains(order); }));
    };
    print_value(prefix + ".refused_inserts", std::uint64_t{result.refused_inserts.size()});
    print_value(prefix + ".refused_inserts_stored", count_stored(result.refused_inserts));
    print_value(prefix + ".done_inserts", std::uint64_t{result.done_inserts.size()});
    print_value(prefix + ".done_inserts_missing",
                std::uint64_t{result.done_inserts.size()} - count_stored(result.done_inserts));
}

} // namespace

void run_overload(const parameters& values) {
    const testbed::cluster_options options = make_options(values);
    testbed::cluster system{options};
    std::vector<testbed::caller_client> clients =
        connect_clients(system, values.get<std::size_t>("clients_per_host"));
    std::mt19937_64 random{values.get<std::uint64_t>("seed")};
    request_mix mix{values};
    const std::chrono::microseconds long_limit = values.milliseconds("baseline_timeout_ms");
    const time_limits long_limits{long_limit, long_limit};
    const std::size_t slots =
        std::size_t{options.groups} * options.targets_per_group * options.slots;
    const double capacity =
        run_saturated(clients, slots * values.get<std::size_t>("outstanding_per_slot"),
                      std::chrono::seconds{values.get<int>("capacity_s")},
                      [&] { return mix.draw_request(long_limits, random); });
    print_value("capacity_per_s", capacity);

    const load_phases phases = make_load_phases(values);
    const double peak = values.get<double>("crest_load") * capacity;
    const rate_function rate = make_rate(phases, values.get<double>("base_load") * capacity, peak);
    const time_limits limits{values.milliseconds("urgent_timeout_ms"),
                             values.milliseconds("normal_timeout_ms")};
    const overload_result short_timeout_result =
        run_ramped_load(clients, mix.streams(rate, peak, limits), phases, random);
    print_result("ours", short_timeout_result, capacity,
                 query_stored_orders(system, options.groups));
    const overload_result long_timeout_result =
        run_ramped_load(clients, mix.streams(rate, peak, long_limits), phases, random);
    print_result("long_timeout", long_timeout_result, capacity,
                 query_stored_orders(system, options.groups));
    print_value("goal.throughput_share", goal_throughput);
    print_value("goal.urgent_p99_ratio", goal_urgent_ratio);
}

} // namespace lovagemoor::bench
