#include <lovagemoor/telemetry/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>
#include <exception>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lovagemoor::telemetry {

namespace internal {

namespace {

/// Number of threads that answer scrapes. With one thread, an idle keep-alive connection would
/// block the others.
constexpr std::size_t exposer_threads = 2;

/// Upper bounds of the histogram buckets in seconds. They reach from below a network round trip to
/// above the failover budget of 7 s.
const prometheus::Histogram::BucketBoundaries duration_buckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

/// @return A string that identifies a time series. The separators cannot occur in valid names but
/// in values, which therefore follow their size.
std::string series_key(const std::string& name, const label_list& labels) {
    std::string key = name;
    for (const auto& [label, value] : labels) {
        key += '\n';
        key += label;
        key += '=';
        key += std::to_string(value.size());
        key += ':';
        key += value;
    }
    return key;
}

} // namespace

} // namespace internal

class metrics::implementation {
public:
    implementation()
        : registry_{std::make_shared<prometheus::Registry>()},
          rejected_{prometheus::BuildCounter()
                        .Name("lovagemoor_rejected_metrics_total")
                        .Register(*registry_)
                        .Add({})} {}

    void listen(const std::string& address) {
        try {
            exposer_.emplace(address, internal::exposer_threads);
        } catch (const std::exception& error) {
            throw metrics_bind_error{address, error.what()};
        }
        exposer_->RegisterCollectable(registry_);
        port_ = static_cast<std::uint16_t>(exposer_->GetListeningPorts().front());
    }

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    void count(const core::count_metric& action) {
        prometheus::Counter* counter = find_or_create(counters_, action.name, action.labels, [&] {
            return &prometheus::BuildCounter()
                        .Name(action.name)
                        .Register(*registry_)
                        .Add({action.labels.begin(), action.labels.end()});
        });
        if (counter != nullptr) {
            counter->Increment(action.value);
        }
    }

    void observe(const core::observe_duration& action) {
        prometheus::Histogram* histogram =
            find_or_create(histograms_, action.name, action.labels, [&] {
                return &prometheus::BuildHistogram()
                            .Name(action.name)
                            .Register(*registry_)
                            .Add({action.labels.begin(), action.labels.end()},
                                 internal::duration_buckets);
            });
        if (histogram != nullptr) {
            histogram->Observe(std::chrono::duration<double>{action.value}.count());
        }
    }

    void set_gauge(const std::string& name, const label_list& labels, double value) {
        prometheus::Gauge* gauge = find_or_create(gauges_, name, labels, [&] {
            return &prometheus::BuildGauge()
                        .Name(name)
                        .Register(*registry_)
                        .Add({labels.begin(), labels.end()});
        });
        if (gauge != nullptr) {
            gauge->Set(value);
        }
    }

    [[nodiscard]] std::string render() const {
        return prometheus::TextSerializer{}.Serialize(registry_->Collect());
    }

private:
    /// @brief Finds a time series or creates it.
    /// @return Null if it cannot be created; the rejection is counted.
    template <typename Metric, typename Create>
    Metric* find_or_create(std::unordered_map<std::string, Metric*>& series,
                           const std::string& name, const label_list& labels, Create create) {
        const std::lock_guard lock{mutex_};
        std::string key = internal::series_key(name, labels);
        const auto found = series.find(key);
        if (found != series.end()) {
            return found->second;
        }
        if (counters_.size() + histograms_.size() + gauges_.size() >= max_series) {
            rejected_.Increment();
            return nullptr;
        }
        try {
            return series.emplace(std::move(key), create()).first->second;
        } catch (const std::exception&) {
            // prometheus-cpp throws for invalid names and for names of another kind of metric.
            rejected_.Increment();
            return nullptr;
        }
    }

    std::mutex mutex_;
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Counter& rejected_;
    std::unordered_map<std::string, prometheus::Counter*> counters_;
    std::unordered_map<std::string, prometheus::Histogram*> histograms_;
    std::unordered_map<std::string, prometheus::Gauge*> gauges_;
    std::optional<prometheus::Exposer> exposer_;
    std::uint16_t port_ = 0;
};

metrics_bind_error::metrics_bind_error(const std::string& address, const std::string& reason)
    : std::runtime_error{"cannot listen on " + address + ": " + reason} {}

metrics::metrics() : implementation_{std::make_unique<implementation>()} {}

metrics::metrics(const std::string& address) : metrics{} {
    implementation_->listen(address);
}

metrics::~metrics() = default;

std::uint16_t metrics::port() const noexcept {
    return implementation_->port();
}

void metrics::perform(const core::count_metric& action) {
    implementation_->count(action);
}

void metrics::perform(const core::observe_duration& action) {
    implementation_->observe(action);
}

void metrics::set_gauge(const std::string& name, const label_list& labels, double value) {
    implementation_->set_gauge(name, labels, value);
}

std::string metrics::render() const {
    return implementation_->render();
}

} // namespace lovagemoor::telemetry
