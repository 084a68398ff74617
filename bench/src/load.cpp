#include "load.hpp"

#include <algorithm>
#include <condition_variable>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

namespace lovagemoor::bench {

namespace {

using clock = std::chrono::steady_clock;

struct arrival {
    std::chrono::microseconds at{0};
    const request_stream* stream = nullptr;
    core::execute_request request;
};

std::chrono::microseconds since(clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - start);
}

std::vector<arrival> make_schedule(const std::vector<request_stream>& streams,
                                   std::chrono::microseconds duration, std::mt19937_64& random) {
    std::vector<arrival> schedule;
    for (const request_stream& stream : streams) {
        for (const std::chrono::microseconds at :
             draw_arrivals(stream.rate, stream.peak_rate, duration, random)) {
            schedule.push_back({at, &stream, {}});
        }
    }
    std::stable_sort(schedule.begin(), schedule.end(),
                     [](const arrival& left, const arrival& right) { return left.at < right.at; });
    for (arrival& item : schedule) {
        item.request = item.stream->make_request(random);
    }
    return schedule;
}

/// Counts the calls in progress and can wait until there are none.
class outstanding_calls {
public:
    void add() {
        const std::lock_guard<std::mutex> lock{mutex_};
        ++count_;
    }

    void remove() {
        const std::lock_guard<std::mutex> lock{mutex_};
        if (--count_ == 0) {
            empty_.notify_all();
        }
    }

    void wait_until_empty() {
        std::unique_lock<std::mutex> lock{mutex_};
        empty_.wait(lock, [this] { return count_ == 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable empty_;
    std::size_t count_ = 0;
};

} // namespace

void run_open_loop(std::vector<testbed::caller_client>& clients,
                   const std::vector<request_stream>& streams, std::chrono::microseconds duration,
                   std::mt19937_64& random, const reply_function& on_reply) {
    const std::vector<arrival> schedule = make_schedule(streams, duration, random);
    std::mutex reply_mutex;
    outstanding_calls calls;
    const clock::time_point start = clock::now();
    std::size_t next_client = 0;
    for (const arrival& item : schedule) {
        std::this_thread::sleep_until(start + item.at);
        calls.add();
        clients[next_client].execute_async(
            item.request, [&, start](const testbed::call_reply& reply) {
                const std::chrono::microseconds answered = since(start);
                {
                    const std::lock_guard<std::mutex> lock{reply_mutex};
                    on_reply({*item.stream, item.request, reply, item.at, answered});
                }
                calls.remove();
            });
        next_client = (next_client + 1) % clients.size();
    }
    calls.wait_until_empty();
}

namespace {

/// State that run_saturated shares with the reply callbacks of its requests.
struct saturating_load {
    std::vector<testbed::caller_client>& clients;
    const std::function<core::execute_request()>& make_request;
    clock::time_point end;
    std::mutex mutex;
    outstanding_calls calls;
    std::uint64_t done = 0;

    void send(std::size_t client) {
        core::execute_request request;
        {
            const std::lock_guard<std::mutex> lock{mutex};
            request = make_request();
        }
        calls.add();
        clients[client].execute_async(request, [this, client](const testbed::call_reply& reply) {
            const bool continues = clock::now() < end;
            if (continues) {
                {
                    const std::lock_guard<std::mutex> lock{mutex};
                    done += reply.is_done() ? 1U : 0U;
                }
                send(client);
            }
            calls.remove();
        });
    }
};

} // namespace

double run_saturated(std::vector<testbed::caller_client>& clients, std::size_t outstanding,
                     std::chrono::microseconds duration,
                     const std::function<core::execute_request()>& make) {
    saturating_load state{clients, make, clock::now() + duration, {}, {}, 0};
    for (std::size_t index = 0; index < outstanding; ++index) {
        state.send(index % clients.size());
    }
    std::this_thread::sleep_until(state.end);
    state.calls.wait_until_empty();
    return static_cast<double>(state.done) / std::chrono::duration<double>(duration).count();
}

void stream_result::add(const load_reply& reply) {
    const std::string kind = outcome_kind_of(reply.reply);
    ++outcome_counts[kind];
    const std::chrono::microseconds latency = reply.answered - reply.intended;
    if (kind == "done") {
        done_latencies.add(latency);
    }
    if (const core::refused* refusal = std::get_if<core::refused>(&reply.reply.result);
        kind == "refused" && refusal != nullptr) {
        refusal_latencies[core::to_string(refusal->reason)].add(latency);
    }
}

void stream_result::print(const std::string& prefix) const {
    for (const auto& [kind, count] : outcome_counts) {
        print_value(join_key(prefix, kind), count);
    }
    for (const auto& [reason, times] : refusal_latencies) {
        const std::string key = join_key(prefix + ".refused", reason);
        print_value(key, times.count());
        print_value(join_key(key, "p50_ms"), times.quantile(0.5));
        print_value(join_key(key, "p99_ms"), times.quantile(0.99));
    }
    print_value(prefix + ".p50_ms", done_latencies.quantile(0.5));
    print_value(prefix + ".p99_ms", done_latencies.quantile(0.99));
    print_value(prefix + ".max_ms", done_latencies.largest());
}

std::string join_key(const std::string& first, const std::string& second) {
    return first + "." + second;
}

std::string outcome_kind_of(const testbed::call_reply& reply) {
    return reply.complete ? core::outcome_kind(reply.result) : "broken";
}

void print_value(const std::string& key, const std::string& value) {
    std::cout << key << '=' << value << std::endl;
}

void print_value(const std::string& key, double value) {
    std::cout << key << '=' << std::fixed << std::setprecision(3) << value << std::endl;
}

void print_value(const std::string& key, std::uint64_t value) {
    std::cout << key << '=' << value << std::endl;
}

void print_value(const std::string& key, std::chrono::microseconds value) {
    print_value(key, std::chrono::duration<double, std::milli>(value).count());
}

} // namespace lovagemoor::bench
