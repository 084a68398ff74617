#include <lovagemoor/proxy/relay/relay_choice.hpp>

#include <lovagemoor/core/placement.hpp>
#include <lovagemoor/proxy/link/weighted_rendezvous.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

struct candidate {
    core::host_id host;
    core::domain_id domain;
    double weight = 1;
    /// Number of candidates of the same domain that are ranked before it.
    std::size_t rank_in_domain = 0;
};

std::vector<core::host_id> rank(const std::string& key, const std::vector<candidate>& candidates) {
    std::vector<std::pair<double, core::host_id>> scored;
    scored.reserve(candidates.size());
    for (const candidate& listed : candidates) {
        scored.emplace_back(weighted_rendezvous_score(key, listed.host.value, listed.weight),
                            listed.host);
    }
    // Equal scores are ordered by name, so that all hosts agree.
    std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    std::vector<core::host_id> ranked;
    ranked.reserve(scored.size());
    for (std::pair<double, core::host_id>& entry : scored) {
        ranked.push_back(std::move(entry.second));
    }
    return ranked;
}

bool has_several_regions(const std::vector<link_peer>& peers) {
    return std::any_of(peers.begin(), peers.end(), [&peers](const link_peer& peer) {
        return peer.region != peers.front().region;
    });
}

bool is_relay(const std::vector<candidate>& ranked, const core::host_id& host) {
    const auto end =
        ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), relays_per_group));
    return std::any_of(ranked.begin(), end,
                       [&host](const candidate& relay) { return relay.host == host; });
}

/// @return The relays of a domain's group, best first, and its standbys.
std::vector<candidate> relay_candidates(const std::vector<link_peer>& peers,
                                        const core::domain_id& domain) {
    const auto member = std::find_if(peers.begin(), peers.end(), [&domain](const link_peer& peer) {
        return peer.domain == domain;
    });
    if (member == peers.end()) {
        return {};
    }
    const bool by_region = has_several_regions(peers);
    const std::string& group = by_region ? member->region : domain.value;
    std::vector<candidate> candidates;
    for (const link_peer& peer : peers) {
        if ((by_region ? peer.region : peer.domain.value) == group) {
            candidates.push_back({peer.host, peer.domain, peer.weight});
        }
    }
    std::vector<candidate> ordered;
    for (const core::host_id& host : rank("registry-relay/" + group, candidates)) {
        ordered.push_back(
            *std::find_if(candidates.begin(), candidates.end(),
                          [&host](const candidate& listed) { return listed.host == host; }));
    }
    // A relay reads and sends for its whole group, so the largest hosts come first.
    std::stable_sort(
        ordered.begin(), ordered.end(),
        [](const candidate& left, const candidate& right) { return left.weight > right.weight; });
    // The loss of one failure domain must not take all relays of a region.
    std::map<core::domain_id, std::size_t> ranked;
    for (candidate& next : ordered) {
        next.rank_in_domain = ranked[next.domain]++;
    }
    std::stable_sort(
        ordered.begin(), ordered.end(), [](const candidate& left, const candidate& right) {
            return left.weight != right.weight ? left.weight > right.weight
                                               : left.rank_in_domain < right.rank_in_domain;
        });
    ordered.resize(std::min(ordered.size(), relays_per_group + standbys_per_group));
    return ordered;
}

} // namespace

} // namespace internal

std::vector<core::host_id> relays_of_domain(const std::vector<link_peer>& peers,
                                            const core::domain_id& domain) {
    std::vector<core::host_id> relays;
    for (internal::candidate& chosen : internal::relay_candidates(peers, domain)) {
        if (relays.size() < relays_per_group) {
            relays.push_back(std::move(chosen.host));
        }
    }
    return relays;
}

std::vector<core::host_id> relays_for(const std::vector<link_peer>& peers,
                                      const core::host_id& host, const core::domain_id& domain) {
    std::vector<internal::candidate> relays = internal::relay_candidates(peers, domain);
    if (internal::is_relay(relays, host)) {
        return {};
    }
    relays.resize(std::min(relays.size(), relays_per_group));
    return internal::rank("relay-of/" + host.value, relays);
}

std::vector<core::host_id> standbys_for(const std::vector<link_peer>& peers,
                                        const core::host_id& host, const core::domain_id& domain) {
    const std::vector<internal::candidate> ranked = internal::relay_candidates(peers, domain);
    std::vector<core::host_id> standbys;
    if (internal::is_relay(ranked, host)) {
        return standbys;
    }
    for (std::size_t index = relays_per_group; index < ranked.size(); ++index) {
        if (ranked[index].host != host) {
            standbys.push_back(ranked[index].host);
        }
    }
    return standbys;
}

std::chrono::milliseconds relay_loss_delay(const core::host_id& host) {
    const std::uint64_t hash = core::rendezvous_weight("relay-loss", host.value);
    return std::chrono::milliseconds{hash % relay_loss_spread.count()};
}

} // namespace lovagemoor::proxy
