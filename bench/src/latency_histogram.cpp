#include "latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace lovagemoor::bench {

namespace {

constexpr unsigned bin_count = 1160;
constexpr double lowest_us = 10;
constexpr double highest_us = 1e8;

} // namespace

latency_histogram::latency_histogram()
    : bins_{boost::histogram::make_histogram_with(boost::histogram::unlimited_storage<>{},
                                                  axis{bin_count, lowest_us, highest_us})} {}

void latency_histogram::add(std::chrono::microseconds latency) {
    bins_(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
    ++count_;
    largest_ = std::max(largest_, latency);
}

std::chrono::microseconds latency_histogram::quantile(double share) const {
    if (count_ == 0) {
        return std::chrono::microseconds{0};
    }
    const double wanted = std::max(1.0, std::ceil(share * static_cast<double>(count_)));
    double seen = 0;
    for (int index = -1; index < static_cast<int>(bin_count); ++index) {
        seen += static_cast<double>(bins_.at(index));
        if (seen >= wanted) {
            // A bin excludes its upper edge, so the edge rounded down is at least as large as every
            // latency in the bin, which is a whole number of microseconds.
            const double edge = bins_.axis().value(index + 1);
            return std::min(largest_, std::chrono::microseconds{static_cast<std::int64_t>(edge)});
        }
    }
    return largest_;
}

} // namespace lovagemoor::bench
