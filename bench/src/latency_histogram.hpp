#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>
#include <tuple>

namespace lovagemoor::bench {

/// @brief Distribution of latencies from 10 us to 100 s in logarithmic bins of 1.4% width.
class latency_histogram {
public:
    latency_histogram();

    void add(std::chrono::microseconds latency);

    /// @return Number of added latencies.
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

    /// @param share Share of the latencies at or below the result. It is above 0 and at most 1.
    /// @return Upper edge of the bin that holds the quantile, at most the largest latency; 0 when
    /// nothing was added.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

    [[nodiscard]] std::chrono::microseconds largest() const noexcept { return largest_; }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<axis>, boost::histogram::unlimited_storage<>> bins_;
    std::uint64_t count_ = 0;
    std::chrono::microseconds largest_{0};
};

} // namespace lovagemoor::bench
