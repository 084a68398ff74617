#include <lovagemoor/proxy/link/weighted_rendezvous.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lovagemoor::proxy {

double weighted_rendezvous_score(std::string_view key, std::string_view candidate, double weight) {
    constexpr double range = 18446744073709551616.0; // 2^64
    const double hash = static_cast<double>(core::rendezvous_weight(key, candidate));
    // The logarithm of 1 would divide by zero; hashes near the top of the range round to it.
    const double uniform =
        std::min((hash + 0.5) / range, 1.0 - std::numeric_limits<double>::epsilon());
    // A weight of zero would give all such candidates the same score.
    constexpr double least_weight = 1e-6;
    return -std::max(weight, least_weight) / std::log(uniform);
}

} // namespace lovagemoor::proxy
