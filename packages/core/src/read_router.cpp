#include <lovagemoor/core/read_router.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <tuple>

namespace lovagemoor::core {

namespace internal {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Round-trip time between failure domains: 1.5 ms each way.
constexpr duration other_domain_distance = 3ms;
/// Surcharge on the cost of the primary, whose slots are needed for writes.
constexpr duration primary_reserve = 5ms;
/// Resolution of costs: the estimates are not more precise, so smaller differences are ignored.
constexpr duration cost_step = 1ms;
/// An older observation says nothing about a replica's current lag. It is ignored, and the replica
/// is tried on the assumption that it does not lag.
constexpr duration observation_lifetime = 1s;
/// Minimum cost of a replica that is behind, which applies even if it reports a data age of 0.
constexpr duration min_lag_wait = 1ms;

struct candidate {
    /// Above 0 if the target is leaving or unreachable or its owner is suspected to have failed.
    int health_penalty = 0;
    std::int64_t cost_steps = 0;
    std::uint64_t weight = 0;
    const target_record* target = nullptr;
    bool is_primary = false;
};

std::uint64_t spread_weight(std::uint64_t salt, const target_id& target) noexcept {
    return XXH3_64bits_withSeed(target.value.data(), target.value.size(), salt);
}

bool is_behind(const target_observation& seen, const read_guard& guard) noexcept {
    return seen.term < guard.term || (seen.term == guard.term && seen.position < guard.position);
}

class candidate_builder {
public:
    candidate_builder(time_point now, const cluster_view& view, const read_requirement& requirement)
        : now_{now},
          view_{view},
          requirement_{requirement},
          primary_{view.primary_of(requirement.group)} {}

    [[nodiscard]] std::optional<candidate> build(const target_record& target) const {
        candidate result;
        result.target = &target;
        result.is_primary = primary_ != nullptr && primary_->id == target.id;
        if (is_excluded(target) || (is_fresh() && !result.is_primary)) {
            return std::nullopt;
        }
        duration cost = target.domain == view_.self().domain ? 0us : other_domain_distance;
        cost += result.is_primary ? primary_reserve : 0us;
        const observed_target* observed = view_.find_observation(target.id);
        const bool recent =
            observed != nullptr && now_ - observed->sampled_at <= observation_lifetime;
        if (recent) {
            const target_observation& seen = observed->observation;
            if (!result.is_primary && is_too_old(seen)) {
                return std::nullopt;
            }
            cost += seen.queue_wait;
            const bool holds = target.id == requirement_.holder;
            if (!result.is_primary && !holds && is_behind(seen, requirement_.guard)) {
                cost += std::max<duration>(min_lag_wait, seen.age);
            }
        }
        const bool unreachable = recent && !observed->observation.reachable;
        result.health_penalty =
            (unreachable ? 2 : 0) + (target.leaving ? 1 : 0) + (has_suspect_owner(target) ? 1 : 0);
        result.cost_steps = cost / cost_step;
        result.weight = spread_weight(requirement_.salt, target.id);
        return result;
    }

private:
    [[nodiscard]] bool is_fresh() const noexcept { return !requirement_.guard.max_age.has_value(); }

    [[nodiscard]] bool is_excluded(const target_record& target) const {
        return std::find(requirement_.excluded.begin(), requirement_.excluded.end(), target.id) !=
               requirement_.excluded.end();
    }

    /// A suspect owner costs latency: a request sent to a failed owner waits until the failure is
    /// confirmed.
    [[nodiscard]] bool has_suspect_owner(const target_record& target) const {
        const std::optional<host_id> owner = view_.owner_of(target.id);
        const member_update* member = owner.has_value() ? view_.find_member(*owner) : nullptr;
        return member != nullptr && member->state == member_state::suspect;
    }

    [[nodiscard]] bool is_too_old(const target_observation& seen) const noexcept {
        return requirement_.guard.max_age.has_value() && seen.age > *requirement_.guard.max_age;
    }

    time_point now_;
    const cluster_view& view_;
    const read_requirement& requirement_;
    const target_record* primary_;
};

bool is_better(const candidate& left, const candidate& right) {
    return std::tie(left.health_penalty, left.cost_steps, right.weight, left.target->id) <
           std::tie(right.health_penalty, right.cost_steps, left.weight, right.target->id);
}

} // namespace internal

std::optional<read_choice> select_read_target(time_point now, const cluster_view& view,
                                              const read_requirement& requirement) {
    const group_record* group = view.find_group(requirement.group);
    if (group == nullptr) {
        return std::nullopt;
    }
    const internal::candidate_builder builder{now, view, requirement};
    std::optional<internal::candidate> best;
    for (const target_record& target : group->targets) {
        const std::optional<internal::candidate> next = builder.build(target);
        if (next.has_value() && (!best.has_value() || internal::is_better(*next, *best))) {
            best = next;
        }
    }
    if (!best.has_value()) {
        return std::nullopt;
    }
    return read_choice{best->target->id, best->is_primary};
}

} // namespace lovagemoor::core
