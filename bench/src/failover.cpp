#include "experiments.hpp"
#include "load.hpp"
#include "workload.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace lovagemoor::bench {

namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds goal_gap = 1500ms;
constexpr std::chrono::milliseconds max_gap = 7000ms;
/// Writes continue for this time after the first acknowledged one, so that losses after the
/// promotion are found.
constexpr std::chrono::milliseconds recovery_observation = 300ms;
constexpr std::chrono::milliseconds poll_interval = 5ms;
constexpr int max_retry_rounds = 20;
constexpr const char* unique_violation = "23505";

/// One insert of the writer, sent with an idempotency key.
struct probe {
    core::execute_request request;
    clock::time_point sent;
    clock::time_point answered;
    testbed::call_reply reply;
    bool finished = false;
};

/// Sends a new insert with an idempotency key at a fixed interval, without waiting for answers.
class probe_writer {
public:
    probe_writer(std::vector<testbed::caller_client>& clients, std::string shard_key,
                 const parameters& values)
        : clients_{clients},
          shard_key_{std::move(shard_key)},
          interval_{values.milliseconds("probe_interval_ms")},
          timeout_{values.milliseconds("probe_timeout_ms")},
          thread_{[this](const std::stop_token& stop) { run(stop); }} {}

    /// @brief Stops sending and waits for all answers.
    void stop() {
        thread_.request_stop();
        thread_.join();
        wait_until_finished();
    }

    /// @return Time of the earliest acknowledgement of a write sent after `time`, if there is one.
    [[nodiscard]] std::optional<clock::time_point>
    first_acknowledged_after(clock::time_point time) {
        const std::lock_guard<std::mutex> lock{mutex_};
        std::optional<clock::time_point> first;
        for (const probe& item : probes_) {
            if (item.finished && item.reply.is_done() && item.sent > time &&
                (!first || item.answered < *first)) {
                first = item.answered;
            }
        }
        return first;
    }

    /// @brief Retries the requests whose outcome is neither `done` nor `failed` with their
    /// idempotency keys, as a caller does, until each has a final outcome or the rounds run out.
    void retry_unfinished() {
        for (int round = 0; round < max_retry_rounds; ++round) {
            std::vector<probe*> open;
            for (probe& item : probes_) {
                const std::string kind = outcome_kind_of(item.reply);
                if (kind != "done" && kind != "failed") {
                    open.push_back(&item);
                }
            }
            if (open.empty()) {
                return;
            }
            for (probe* item : open) {
                send(*item);
            }
            wait_until_finished();
        }
    }

    /// @pre stop() has returned, because the writer thread adds probes until then.
    [[nodiscard]] const std::deque<probe>& probes() const { return probes_; }

private:
    void run(const std::stop_token& stop) {
        clock::time_point next = clock::now();
        while (!stop.stop_requested()) {
            probe* item = nullptr;
            {
                const std::lock_guard<std::mutex> lock{mutex_};
                item = &probes_.emplace_back();
            }
            const std::string order = std::to_string(probes_.size());
            item->request = testbed::insert_order(order, "barn", 1);
            item->request.shard_key = shard_key_;
            item->request.idempotency_key = "probe-" + order;
            item->request.timeout = timeout_;
            send(*item);
            next += interval_;
            std::this_thread::sleep_until(next);
        }
    }

    void send(probe& item) {
        {
            const std::lock_guard<std::mutex> lock{mutex_};
            item.sent = clock::now();
            item.finished = false;
        }
        next_client_ = (next_client_ + 1) % clients_.size();
        clients_[next_client_].execute_async(item.request,
                                             [this, &item](const testbed::call_reply& reply) {
                                                 const std::lock_guard<std::mutex> lock{mutex_};
                                                 item.answered = clock::now();
                                                 item.reply = reply;
                                                 item.finished = true;
                                             });
    }

    void wait_until_finished() {
        const auto all_finished = [this] {
            const std::lock_guard<std::mutex> lock{mutex_};
            return std::all_of(probes_.begin(), probes_.end(),
                               [](const probe& item) { return item.finished; });
        };
        while (!all_finished()) {
            std::this_thread::sleep_for(poll_interval);
        }
    }

    std::vector<testbed::caller_client>& clients_;
    std::string shard_key_;
    std::chrono::microseconds interval_;
    std::chrono::microseconds timeout_;
    std::mutex mutex_;
    /// A deque, because reply callbacks refer to its elements while it grows.
    std::deque<probe> probes_;
    std::size_t next_client_ = 0;
    std::jthread thread_;
};

struct trial_result {
    /// Time from the fault to the first acknowledged write. Empty when no write was acknowledged
    /// within the limit.
    std::optional<std::chrono::microseconds> gap;
    std::map<std::string, std::uint64_t> first_outcomes;
    std::uint64_t acknowledged = 0;
    std::uint64_t lost = 0;
    std::uint64_t executed_twice = 0;
    std::uint64_t without_final_outcome = 0;
    /// True when the group's term record names another primary after the trial.
    bool promoted = false;
};

void inject_fault(testbed::cluster& system, testbed::cluster_target& primary,
                  const std::string& fault, bool from_platform) {
    if (fault == "kill") {
        primary.process->send_signal(SIGKILL);
    } else if (fault == "freeze") {
        primary.process->send_signal(SIGSTOP);
    } else if (fault == "isolate") {
        system.isolate_domain(primary.domain, from_platform);
    } else {
        throw parameter_error{"unknown fault " + fault};
    }
}

/// Compares the acknowledged writes with the rows of the group's new primary.
void check_writes(testbed::cluster& system, const std::deque<probe>& probes, trial_result& result) {
    testbed::target_client target{system.find_primary(group_name(0)).port};
    std::map<std::string, std::uint64_t> stored;
    for (const std::vector<std::string>& row :
         target.query("SELECT id, kit, quantity FROM orders ORDER BY id")) {
        ++stored[row.front()];
    }
    for (const probe& item : probes) {
        const std::string order = item.request.statement.parameters.front().value();
        const std::string kind = outcome_kind_of(item.reply);
        const core::failed* failure = std::get_if<core::failed>(&item.reply.result);
        result.acknowledged += kind == "done" ? 1U : 0U;
        result.lost += kind == "done" && !stored.contains(order) ? 1U : 0U;
        // Each order is inserted under one idempotency key, so a unique violation means that its
        // insert ran again.
        const bool ran_again = failure != nullptr && failure->sqlstate == unique_violation;
        result.executed_twice +=
            ran_again || (stored.contains(order) && stored.at(order) > 1) ? 1U : 0U;
        result.without_final_outcome += kind != "done" && kind != "failed" ? 1U : 0U;
    }
}

/// Waits until a write sent after the fault is acknowledged or the limit has passed. Meanwhile
/// ends the platform outage once `platform_outage_ms` have passed.
std::optional<clock::time_point>
wait_for_first_acknowledged(testbed::cluster& system, probe_writer& writer, clock::time_point fault,
                            clock::time_point injected, const parameters& values) {
    bool outage = values.milliseconds("platform_outage_ms").count() > 0;
    std::optional<clock::time_point> first;
    while (clock::now() - fault < values.milliseconds("limit_ms") && (!first || outage)) {
        if (outage && clock::now() - fault >= values.milliseconds("platform_outage_ms")) {
            system.platform().set_outage(false);
            outage = false;
        }
        first = writer.first_acknowledged_after(injected);
        std::this_thread::sleep_for(poll_interval);
    }
    return first;
}

trial_result run_trial(const parameters& values, const std::string& fault) {
    const testbed::cluster_options options = make_options(values);
    testbed::cluster system{options};
    testbed::cluster_target& primary = system.find_primary(group_name(0));
    const core::target_id failed_primary = primary.id;
    std::vector<testbed::caller_client> clients =
        connect_clients(system, values.get<std::size_t>("clients_per_host"), primary.domain);
    probe_writer writer{clients, find_shard_key(options, group_name(0)), values};
    std::this_thread::sleep_for(values.milliseconds("steady_ms"));

    if (values.milliseconds("platform_outage_ms").count() > 0) {
        system.platform().set_outage(true);
    }
    const clock::time_point before = clock::now();
    inject_fault(system, primary, fault, values.get<int>("isolate_platform") != 0);
    const clock::time_point injected = clock::now();
    const std::optional<clock::time_point> first =
        wait_for_first_acknowledged(system, writer, before, injected, values);
    std::this_thread::sleep_for(recovery_observation);
    writer.stop();

    trial_result result;
    if (first) {
        result.gap = std::chrono::duration_cast<std::chrono::microseconds>(*first - before);
    }
    for (const probe& item : writer.probes()) {
        ++result.first_outcomes[outcome_kind_of(item.reply)];
    }
    writer.retry_unfinished();
    check_writes(system, writer.probes(), result);
    result.promoted = system.find_primary(group_name(0)).id != failed_primary;
    return result;
}

void print_trial(const std::string& prefix, const trial_result& result) {
    if (result.gap) {
        print_value(prefix + ".gap_ms", *result.gap);
    } else {
        print_value(prefix + ".gap_ms", std::string{"none"});
    }
    print_value(prefix + ".promoted", std::uint64_t{result.promoted ? 1U : 0U});
    for (const auto& [kind, count] : result.first_outcomes) {
        print_value(join_key(prefix, kind), count);
    }
}

void run_fault(const parameters& values, const std::string& fault) {
    std::vector<std::chrono::microseconds> gaps;
    trial_result totals;
    const int trials = values.get<int>("trials");
    for (int trial = 1; trial <= trials; ++trial) {
        const trial_result result = run_trial(values, fault);
        print_trial(fault + ".trial" + std::to_string(trial), result);
        if (result.gap) {
            gaps.push_back(*result.gap);
        }
        totals.acknowledged += result.acknowledged;
        totals.lost += result.lost;
        totals.executed_twice += result.executed_twice;
        totals.without_final_outcome += result.without_final_outcome;
    }
    std::sort(gaps.begin(), gaps.end());
    if (!gaps.empty()) {
        print_value(fault + ".gap_median_ms", gaps[gaps.size() / 2]);
        print_value(fault + ".gap_worst_ms", gaps.back());
    }
    print_value(fault + ".trials_without_ack",
                static_cast<std::uint64_t>(trials) - std::uint64_t{gaps.size()});
    print_value(fault + ".acknowledged", totals.acknowledged);
    print_value(fault + ".acknowledged_lost", totals.lost);
    print_value(fault + ".doubled", totals.executed_twice);
    print_value(fault + ".without_final_outcome", totals.without_final_outcome);
}

} // namespace

void run_failover(const parameters& values) {
    for (const std::string& fault : values.list("faults")) {
        run_fault(values, fault);
    }
    print_value("goal.gap_worst_ms", std::chrono::microseconds{goal_gap});
    print_value("bound.gap_ms", std::chrono::microseconds{max_gap});
}

} // namespace lovagemoor::bench
