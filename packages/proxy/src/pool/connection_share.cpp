#include <lovagemoor/proxy/pool/connection_share.hpp>

#include <lovagemoor/core/placement.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Number of hosts assumed while the host list is unknown, as in the reference deployments.
constexpr std::size_t assumed_hosts = 18;

/// Number of connections beyond a target's slots that are still useful, because some are idle in
/// transactions.
constexpr unsigned useful_connections_beyond_slots = 3;

/// Highest fraction of a target's connections that hosts keep open if connections are scarce. The
/// rest is left to restarting hosts and to hosts that keep none.
constexpr double max_kept_fraction = 0.8;

/// Part of a target's connections that is left free for each part of the hosts that keeps none.
/// Leaves a fifth free if hosts keep four fifths of four connections for five hosts, as measured on
/// the grown reference deployments.
constexpr double reserve_ratio = 5.0 / 9.0;

/// @return Number of connections that all hosts together keep open to a target with fewer than two
/// connections per host.
double kept_connections(const connection_limit& limit, double hosts) noexcept {
    // Solves 1 - fraction = reserve_ratio * (1 - fraction * per_host).
    const double per_host = std::min(1.0, limit.connections / hosts);
    const double fraction = (1 - reserve_ratio) / (1 - reserve_ratio * per_host);
    return limit.connections * std::min(max_kept_fraction, fraction);
}

std::size_t host_count(const connection_limit& limit) noexcept {
    return limit.hosts == 0 ? assumed_hosts : limit.hosts;
}

unsigned fair_share(const connection_limit& limit) noexcept {
    return static_cast<unsigned>(limit.connections / host_count(limit));
}

} // namespace

} // namespace internal

unsigned max_connections(const connection_limit& limit) noexcept {
    const unsigned share = internal::fair_share(limit);
    const unsigned useful = limit.slots + internal::useful_connections_beyond_slots;
    return std::max({1U, share, std::min(2 * share, useful)});
}

unsigned min_connections(const connection_limit& limit,
                         const connection_priority& priority) noexcept {
    const unsigned half = internal::fair_share(limit) / 2;
    if (half > 0) {
        return half;
    }
    const auto hosts = static_cast<double>(internal::host_count(limit));
    const double kept = internal::kept_connections(limit, hosts);
    if (priority.starting) {
        const double free_connections = limit.connections - std::min(hosts, kept);
        return priority.rank * hosts < free_connections / 2 ? 1U : 0U;
    }
    const auto preferring_hosts = static_cast<double>(priority.preferring_hosts);
    const bool keeps = preferring_hosts > kept
                           ? priority.preferred && priority.rank * preferring_hosts < kept
                           : priority.preferred || priority.rank * (hosts - preferring_hosts) <
                                                       kept - preferring_hosts;
    return keeps ? 1U : 0U;
}

double connection_rank(const core::host_id& host, const core::target_id& target) {
    constexpr double weights = 18446744073709551616.0; // 2^64
    return static_cast<double>(core::rendezvous_weight(target.value, host.value)) / weights;
}

core::target_id preferred_target(const core::host_id& host,
                                 const std::vector<core::target_id>& candidates) {
    return *std::max_element(candidates.begin(), candidates.end(),
                             [&](const core::target_id& left, const core::target_id& right) {
                                 return core::rendezvous_weight(host.value, left.value) <
                                        core::rendezvous_weight(host.value, right.value);
                             });
}

} // namespace lovagemoor::proxy
