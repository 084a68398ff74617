#pragma once

#include "arrivals.hpp"
#include "latency_histogram.hpp"

#include <lovagemoor/testbed/caller_client.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagemoor::bench {

/// @brief One kind of request with its own Poisson arrivals.
struct request_stream {
    std::string name;
    rate_function rate;
    /// Upper bound of the rate, arrivals per second.
    double peak_rate = 0;
    /// Makes the request of one arrival. Called before the load starts, in order of arrival.
    std::function<core::execute_request(std::mt19937_64&)> make_request;
};

/// @brief One answered request.
struct load_reply {
    const request_stream& stream;
    const core::execute_request& request;
    const testbed::call_reply& reply;
    /// Times of the intended arrival and of the answer, relative to the start of the load.
    std::chrono::microseconds intended{0};
    std::chrono::microseconds answered{0};
};

/// @brief Is called for every answer, never by two threads at once.
using reply_function = std::function<void(const load_reply&)>;

/// @brief Sends the requests of all streams at their arrival times without waiting for earlier
/// answers. The clients take turns. Returns when all requests have been answered.
void run_open_loop(std::vector<testbed::caller_client>& clients,
                   const std::vector<request_stream>& streams, std::chrono::microseconds duration,
                   std::mt19937_64& random, const reply_function& on_reply);

/// @brief Saturates the targets by keeping a fixed number of requests outstanding.
/// @param make Makes the next request; never called by two threads at once.
/// @return Requests with the outcome `done` per second within the duration.
[[nodiscard]] double run_saturated(std::vector<testbed::caller_client>& clients,
                                   std::size_t outstanding, std::chrono::microseconds duration,
                                   const std::function<core::execute_request()>& make);

/// @brief Outcome counts and latencies of one stream.
struct stream_result {
    latency_histogram done_latencies;
    /// Number of answers by kind: done, refused, failed, unknown, broken.
    std::map<std::string, std::uint64_t> outcome_counts;
    /// Latencies of the refusals by reason.
    std::map<std::string, latency_histogram> refusal_latencies;

    void add(const load_reply& reply);
    void print(const std::string& prefix) const;
};

/// @brief Joins two parts of a key with a dot.
[[nodiscard]] std::string join_key(const std::string& first, const std::string& second);

/// @return Kind of the outcome, or "broken" when the call did not complete.
[[nodiscard]] std::string outcome_kind_of(const testbed::call_reply& reply);

/// @brief Prints one line key=value.
void print_value(const std::string& key, const std::string& value);
void print_value(const std::string& key, double value);
void print_value(const std::string& key, std::uint64_t value);
void print_value(const std::string& key, std::chrono::microseconds value);

} // namespace lovagemoor::bench
