#include "experiments.hpp"
#include "load.hpp"
#include "process_stats.hpp"
#include "workload.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace lovagemoor::bench {

namespace {

using clock = std::chrono::steady_clock;

/// Session n writes the order first_order + n.
constexpr std::int64_t first_order = 1000;
constexpr std::size_t quantity_column = 2;

/// Tracks the last started and the last acknowledged quantity of each order. A majority is known
/// to hold an acknowledged quantity. Each order has one writer that increments the quantity, so a
/// smaller quantity is an older state.
class write_progress {
public:
    void set_acknowledged(std::int64_t order, std::int64_t quantity) {
        const std::lock_guard<std::mutex> lock{mutex_};
        acknowledged_[order] = quantity;
        started_[order] = std::max(started_[order], quantity);
    }

    void set_started(std::int64_t order, std::int64_t quantity) {
        const std::lock_guard<std::mutex> lock{mutex_};
        started_[order] = quantity;
    }

    /// @return True when a majority, and so at least one replica, holds at least the quantity.
    [[nodiscard]] bool is_acknowledged(std::int64_t order, std::int64_t quantity) {
        const std::lock_guard<std::mutex> lock{mutex_};
        return acknowledged_[order] >= quantity;
    }

    /// @return True when no write of the order is waiting for its acknowledgement.
    [[nodiscard]] bool has_no_pending_write(std::int64_t order) {
        const std::lock_guard<std::mutex> lock{mutex_};
        return acknowledged_[order] == started_[order];
    }

private:
    std::mutex mutex_;
    std::map<std::int64_t, std::int64_t> acknowledged_;
    std::map<std::int64_t, std::int64_t> started_;
};

/// Totals over the sessions of one step, which has one replica lag and one staleness bound.
struct step_counts {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> reads_done{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> writes_done{0};
    std::atomic<std::uint64_t> stale{0};
    /// Completed reads that at least one replica could have answered correctly when they were sent.
    std::atomic<std::uint64_t> replica_could_answer{0};
};

/// Session that sends one read or write at a time, each through a randomly chosen host.
class session {
public:
    session(const parameters& values, std::vector<testbed::caller_client>& clients,
            write_progress& writes, std::int64_t number, std::uint64_t seed)
        : clients_{clients},
          writes_{writes},
          own_order_{first_order + number},
          sessions_{values.get<std::int64_t>("sessions")},
          write_share_{values.get<double>("write_share")},
          own_read_share_{values.get<double>("own_read_share")},
          pause_s_{std::chrono::duration<double>(values.milliseconds("pause_ms")).count()},
          timeout_{values.milliseconds("timeout_ms")},
          sends_token_{values.get<int>("keep_token") != 0},
          random_{seed} {}

    void create() {
        const std::string order = std::to_string(own_order_);
        core::execute_request request = testbed::insert_order(order, "barn", 0);
        request.timeout = timeout_;
        const testbed::call_reply reply = send(request);
        if (!reply.is_done()) {
            throw std::runtime_error{"cannot create the order of a session: " +
                                     testbed::describe(reply)};
        }
    }

    void run(clock::time_point counted_from, clock::time_point end,
             const std::optional<std::chrono::milliseconds>& staleness, step_counts& counts) {
        std::exponential_distribution<double> pause{1 / pause_s_};
        while (clock::now() < end) {
            std::this_thread::sleep_for(std::chrono::duration<double>{pause(random_)});
            const bool is_counted = clock::now() >= counted_from;
            if (std::bernoulli_distribution{write_share_}(random_)) {
                write(is_counted, counts);
            } else {
                read(is_counted, staleness, counts);
            }
        }
    }

private:
    testbed::call_reply send(core::execute_request& request) {
        request.session_token = token_;
        std::uniform_int_distribution<std::size_t> host{0, clients_.size() - 1};
        testbed::call_reply reply = clients_[host(random_)].execute(request);
        if (sends_token_ && reply.complete && !reply.session_token.empty()) {
            token_ = reply.session_token;
        }
        return reply;
    }

    void write(bool is_counted, step_counts& counts) {
        const std::int64_t quantity = ++last_quantity_;
        writes_.set_started(own_order_, quantity);
        core::execute_request request =
            testbed::update_order(std::to_string(own_order_), static_cast<std::uint32_t>(quantity));
        request.timeout = timeout_;
        const testbed::call_reply reply = send(request);
        counts.writes += is_counted ? 1U : 0U;
        if (reply.is_done()) {
            counts.writes_done += is_counted ? 1U : 0U;
            writes_.set_acknowledged(own_order_, quantity);
            seen_quantities_[own_order_] = quantity;
        }
    }

    void read(bool is_counted, const std::optional<std::chrono::milliseconds>& staleness,
              step_counts& counts) {
        std::uniform_int_distribution<std::int64_t> any_order{first_order,
                                                              first_order + sessions_ - 1};
        const bool is_own = std::bernoulli_distribution{own_read_share_}(random_);
        const std::int64_t order = is_own ? own_order_ : any_order(random_);
        core::execute_request request = testbed::select_order(std::to_string(order));
        request.timeout = timeout_;
        request.max_staleness = staleness;
        const bool replica_could_answer =
            staleness ? writes_.is_acknowledged(order, seen_quantities_[order])
                      : writes_.has_no_pending_write(order);
        const testbed::call_reply reply = send(request);
        counts.reads += is_counted ? 1U : 0U;
        if (!reply.is_done()) {
            return;
        }
        const std::int64_t read_quantity =
            reply.rows.empty()
                ? -1
                : parse_order_id(reply.rows.front().at(quantity_column).value_or("-1"));
        // Stale answers are also counted during the settling time after a change of the lag.
        counts.stale += read_quantity < seen_quantities_[order] ? 1U : 0U;
        seen_quantities_[order] = std::max(seen_quantities_[order], read_quantity);
        counts.reads_done += is_counted ? 1U : 0U;
        counts.replica_could_answer += is_counted && replica_could_answer ? 1U : 0U;
    }

    std::vector<testbed::caller_client>& clients_;
    write_progress& writes_;
    std::int64_t own_order_;
    std::int64_t sessions_;
    double write_share_;
    double own_read_share_;
    double pause_s_;
    std::chrono::microseconds timeout_;
    bool sends_token_;
    std::mt19937_64 random_;
    std::string token_;
    std::int64_t last_quantity_ = 0;
    /// Largest quantity of each order that this session has written or read.
    std::map<std::int64_t, std::int64_t> seen_quantities_;
};

/// Sets the replication lag of one replica in each group.
void set_replica_lag(testbed::cluster& system, std::uint32_t groups, const std::string& lag_ms) {
    for (std::uint32_t index = 0; index < groups; ++index) {
        const core::target_id primary = system.find_primary(group_name(index)).id;
        bool is_set = false;
        for (const testbed::cluster_target& target : system.targets()) {
            if (target.group == group_name(index) && target.id != primary && !is_set) {
                testbed::target_client{target.port}.control("lag_ms", lag_ms);
                is_set = true;
            }
        }
    }
}

struct read_counters {
    double primary = 0;
    double replica = 0;
};

read_counters fetch_counters(testbed::cluster& system) {
    return {sum_counter(system, "reads_total", "role=\"primary\""),
            sum_counter(system, "reads_total", "role=\"replica\"")};
}

void run_step(testbed::cluster& system, std::vector<session>& sessions, const parameters& values,
              const std::string& lag_ms, const std::string& staleness_ms) {
    std::optional<std::chrono::milliseconds> staleness;
    if (staleness_ms != "unset") {
        staleness = std::chrono::milliseconds{std::stoi(staleness_ms)};
    }
    step_counts counts;
    const clock::time_point counted_from = clock::now() + values.milliseconds("settle_ms");
    const clock::time_point end = counted_from + std::chrono::seconds{values.get<int>("step_s")};
    read_counters before;
    {
        std::vector<std::jthread> threads;
        threads.reserve(sessions.size());
        for (session& item : sessions) {
            threads.emplace_back([&] { item.run(counted_from, end, staleness, counts); });
        }
        std::this_thread::sleep_until(counted_from);
        before = fetch_counters(system);
    }
    const read_counters after = fetch_counters(system);
    const double replica = after.replica - before.replica;
    const double all = replica + after.primary - before.primary;
    const std::string prefix = "lag" + lag_ms + ".staleness_" + staleness_ms;
    print_value(prefix + ".reads", counts.reads.load());
    print_value(prefix + ".reads_done", counts.reads_done.load());
    print_value(prefix + ".writes", counts.writes.load());
    print_value(prefix + ".writes_done", counts.writes_done.load());
    print_value(prefix + ".replica_share", all > 0 ? replica / all : 0.0);
    print_value(prefix + ".possible_share",
                static_cast<double>(counts.replica_could_answer.load()) /
                    static_cast<double>(std::max<std::uint64_t>(counts.reads_done.load(), 1)));
    print_value(prefix + ".stale", counts.stale.load());
}

} // namespace

void run_replica_reads(const parameters& values) {
    const testbed::cluster_options options = make_options(values);
    testbed::cluster system{options};
    std::vector<testbed::caller_client> clients =
        connect_clients(system, values.get<std::size_t>("clients_per_host"));
    write_progress writes;
    std::mt19937_64 random{values.get<std::uint64_t>("seed")};
    std::vector<session> sessions;
    for (std::int64_t number = 0; number < values.get<std::int64_t>("sessions"); ++number) {
        sessions.emplace_back(values, clients, writes, number, random()).create();
    }
    for (const std::string& lag_ms : values.list("lags_ms")) {
        set_replica_lag(system, options.groups, lag_ms);
        for (const std::string& staleness_ms : values.list("stalenesses_ms")) {
            run_step(system, sessions, values, lag_ms, staleness_ms);
        }
    }
    print_value("goal.stale", std::uint64_t{0});
}

} // namespace lovagemoor::bench
