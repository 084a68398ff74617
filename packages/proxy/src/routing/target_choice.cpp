#include <lovagemoor/proxy/routing/target_choice.hpp>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Factor in percent on the expected time at the primary: a read only goes to the primary if the
/// replicas are expected to take longer than that.
constexpr int primary_cost_percent = 150;

core::duration expected_time(const read_candidate& candidate) {
    const core::duration queued =
        candidate.mean_latency * candidate.in_use / (candidate.slots == 0 ? 1 : candidate.slots);
    core::duration cost = candidate.mean_latency + queued;
    if (candidate.primary) {
        cost = cost * primary_cost_percent / 100;
    }
    if (!candidate.same_domain) {
        cost += cross_domain_cost;
    }
    if (!candidate.connected) {
        cost += connect_cost;
    }
    return cost;
}

} // namespace

} // namespace internal

std::optional<std::size_t> choose_read_target(const std::vector<read_candidate>& candidates) {
    std::optional<std::size_t> best;
    core::duration best_cost{0};
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const read_candidate& candidate = candidates[index];
        if (candidate.full || candidate.avoided) {
            continue;
        }
        const core::duration cost = internal::expected_time(candidate);
        if (!best.has_value() || cost < best_cost) {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace lovagemoor::proxy
