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

/// @brief Label names and values that identify one time series of a metric.
using label_list = std::vector<std::pair<std::string, std::string>>;

/// @brief Thrown when the metrics endpoint cannot listen on its address.
class metrics_bind_error : public std::runtime_error {
public:
    metrics_bind_error(const std::string& address, const std::string& reason);
};

/// @brief The metrics of a host, with an optional HTTP endpoint for Prometheus at /metrics.
///
/// All functions are thread-safe. A value is not recorded if the name of its metric is invalid or
/// in use for another kind of metric, or if it would need a new time series above the limit. Each
/// such value increments the counter lovagemoor_rejected_metrics_total.
class metrics {
public:
    /// Limit on the number of time series, so that labels with many values cannot exhaust the
    /// host's memory.
    static constexpr std::size_t max_series = 10'000;

    /// @brief Collects metrics without an endpoint.
    metrics();

    /// @brief Collects metrics and serves them over HTTP.
    /// @param address Address and port to listen on, for example 127.0.0.1:9100; port 0 takes a
    /// free port.
    /// @throws metrics_bind_error when the address is invalid or in use.
    explicit metrics(const std::string& address);

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    ~metrics();

    /// @return The port of the endpoint; 0 without an endpoint.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// @brief Adds to a counter.
    void perform(const core::count_metric& action);

    /// @brief Adds a duration, converted to seconds, to a histogram.
    void perform(const core::observe_duration& action);

    /// @brief Sets a gauge.
    void set_gauge(const std::string& name, const label_list& labels, double value);

    /// @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::telemetry
