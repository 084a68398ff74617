#pragma once

#include <lovagemoor/core/action.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::telemetry {

/// @brief Names and values that select one time series of a metric.
using label_list = std::vector<std::pair<std::string, std::string>>;

/// @brief The metrics endpoint cannot listen on its address.
class metrics_bind_error : public std::runtime_error {
public:
    metrics_bind_error(const std::string& address, const std::string& reason);
};

/// @brief Registry of the host's metrics with an HTTP endpoint for Prometheus under /metrics.
///
/// All functions are thread-safe. A metric with an invalid name, a name that is in use for another
/// kind of metric, or a new time series above the limit is not recorded; it adds to the counter
/// lovagemoor_rejected_metrics_total.
class metrics {
public:
    /// Limit on time series, so that labels with many values cannot exhaust a host's memory.
    static constexpr std::size_t max_series = 10'000;

    /// @brief A registry without an endpoint.
    metrics();

    /// @param address Address and port to listen on, for example 127.0.0.1:9100; port 0 takes a
    /// free port.
    /// @throws metrics_bind_error when the address is invalid or in use.
    explicit metrics(const std::string& address);

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    ~metrics();

    /// @return The port in use, 0 without an endpoint.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// @brief Adds to a counter.
    void perform(const core::count_metric& action);

    /// @brief Adds a duration to a histogram, in seconds.
    void perform(const core::observe_duration& action);

    /// @brief Sets a gauge.
    void set_gauge(const std::string& name, const label_list& labels, double value);

    /// @return All metrics in Prometheus' text format.
    [[nodiscard]] std::string render() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::telemetry
