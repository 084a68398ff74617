#include <lovagemoor/proxy/pool/connection_share.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Hosts assumed while their list is unknown, as in the reference deployments.
constexpr std::size_t assumed_hosts = 18;

/// Connections beyond a target's slots that still find work: some wait inside transactions.
constexpr unsigned useful_beyond_slots = 3;

/// Part of a target's connections that hosts keep where they are scarce. The rest is left to hosts
/// that restart and to those that keep none.
constexpr double held_part = 0.8;

std::size_t sharers_of(const connection_limit& limit) noexcept {
    return limit.hosts == 0 ? assumed_hosts : limit.hosts;
}

unsigned share_of(const connection_limit& limit) noexcept {
    return static_cast<unsigned>(limit.connections / sharers_of(limit));
}

} // namespace

} // namespace internal

unsigned most_connections(const connection_limit& limit) noexcept {
    const unsigned share = internal::share_of(limit);
    const unsigned useful = limit.slots + internal::useful_beyond_slots;
    return std::max({1U, share, std::min(2 * share, useful)});
}

unsigned kept_connections(const connection_limit& limit, const connection_claim& claim) noexcept {
    const unsigned half = internal::share_of(limit) / 2;
    if (half > 0) {
        return half;
    }
    const auto hosts = static_cast<double>(internal::sharers_of(limit));
    const double held = limit.connections * internal::held_part;
    if (claim.settling) {
        const double left = limit.connections - std::min(hosts, held);
        return claim.place * hosts < left / 2 ? 1U : 0U;
    }
    const auto homes = static_cast<double>(claim.homes);
    return claim.home || claim.place * (hosts - homes) < held - homes ? 1U : 0U;
}

double place_among_hosts(const core::host_id& host, const core::target_id& target) {
    constexpr double weights = 18446744073709551616.0; // 2^64
    return static_cast<double>(core::rendezvous_weight(target.value, host.value)) / weights;
}

core::target_id home_target(const core::host_id& host,
                            const std::vector<core::target_id>& candidates) {
    return *std::max_element(candidates.begin(), candidates.end(),
                             [&](const core::target_id& left, const core::target_id& right) {
                                 return core::rendezvous_weight(host.value, left.value) <
                                        core::rendezvous_weight(host.value, right.value);
                             });
}

} // namespace lovagemoor::proxy
