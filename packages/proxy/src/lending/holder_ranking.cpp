#include <lovagemoor/proxy/lending/holder_ranking.hpp>

#include <lovagemoor/core/placement.hpp>
#include <lovagemoor/proxy/link/weighted_rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// @name Connections are lent if a target accepts no more than two for each three hosts
/// With more, most hosts keep a connection to a replica of each service, which renews the lease of
/// its primary.
/// @{
constexpr std::size_t scarce_connections = 2;
constexpr std::size_t scarce_hosts = 3;

/// @}

struct ranked_peer {
    /// 0 for hosts of the target's failure domain, 1 for those of its region, 2 for others.
    int distance = 0;
    double score = 0;
    const link_peer* peer = nullptr;
};

int distance_of(const link_peer& peer, const holder_query& query) {
    if (peer.domain == query.domain) {
        return 0;
    }
    return peer.region == query.region ? 1 : 2;
}

} // namespace

} // namespace internal

std::vector<core::host_id> rank_holders(const holder_query& query,
                                        const std::vector<link_peer>& peers) {
    std::vector<internal::ranked_peer> ranked;
    ranked.reserve(peers.size());
    for (const link_peer& peer : peers) {
        ranked.push_back(
            {internal::distance_of(peer, query),
             weighted_rendezvous_score(query.target.value, peer.host.value, peer.weight), &peer});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const internal::ranked_peer& left, const internal::ranked_peer& right) {
                  if (left.distance != right.distance) {
                      return left.distance < right.distance;
                  }
                  return left.score != right.score ? left.score > right.score
                                                   : left.peer->host < right.peer->host;
              });
    const std::string key =
        query.target.value + '\n' +
        (query.organisation.empty() ? query.borrower.value : query.organisation.value);
    const std::size_t holders = std::min(holders_per_target, ranked.size());
    std::sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(holders),
              [&](const internal::ranked_peer& left, const internal::ranked_peer& right) {
                  const std::uint64_t left_weight =
                      core::rendezvous_weight(key, left.peer->host.value);
                  const std::uint64_t right_weight =
                      core::rendezvous_weight(key, right.peer->host.value);
                  return left_weight != right_weight ? left_weight > right_weight
                                                     : left.peer->host < right.peer->host;
              });
    std::vector<core::host_id> order;
    order.reserve(ranked.size());
    for (const internal::ranked_peer& entry : ranked) {
        order.push_back(entry.peer->host);
    }
    return order;
}

bool uses_holders(const holder_activation& activation) noexcept {
    if (activation.peers == 0) {
        return false;
    }
    return activation.organisations ||
           (activation.max_connections > 0 && activation.max_connections * internal::scarce_hosts <=
                                                  activation.hosts * internal::scarce_connections);
}

} // namespace lovagemoor::proxy
