#include "arrivals.hpp"

namespace lovagemoor::bench {

std::vector<std::chrono::microseconds> draw_arrivals(const rate_function& rate, double peak,
                                                     std::chrono::microseconds duration,
                                                     std::mt19937_64& random) {
    std::vector<std::chrono::microseconds> result;
    if (peak <= 0) {
        return result;
    }
    std::exponential_distribution<double> gap{peak};
    std::uniform_real_distribution<double> uniform{0, peak};
    std::chrono::duration<double> at{gap(random)};
    while (at < duration) {
        const std::chrono::microseconds time =
            std::chrono::duration_cast<std::chrono::microseconds>(at);
        // Thinning accepts a candidate that was drawn at the peak rate with probability rate /
        // peak.
        if (uniform(random) < rate(time)) {
            result.push_back(time);
        }
        at += std::chrono::duration<double>{gap(random)};
    }
    return result;
}

} // namespace lovagemoor::bench
