#include <lovagemoor/proxy/relay/relay_choice.hpp>

#include <lovagemoor/core/placement.hpp>
#include <lovagemoor/proxy/link/weighted_rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace lovagemoor::proxy {

namespace internal {

namespace {

struct candidate {
    core::host_id host;
    double weight = 1;
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

std::vector<candidate> relay_candidates(const std::vector<link_peer>& peers,
                                        const core::domain_id& domain) {
    std::vector<candidate> candidates;
    for (const link_peer& peer : peers) {
        if (peer.domain == domain) {
            candidates.push_back({peer.host, peer.weight});
        }
    }
    std::vector<candidate> ordered;
    for (const core::host_id& host : rank("registry-relay/" + domain.value, candidates)) {
        ordered.push_back(
            *std::find_if(candidates.begin(), candidates.end(),
                          [&host](const candidate& listed) { return listed.host == host; }));
    }
    // A relay reads and sends for its whole domain, so the largest hosts come first.
    std::stable_sort(
        ordered.begin(), ordered.end(),
        [](const candidate& left, const candidate& right) { return left.weight > right.weight; });
    ordered.resize(std::min(ordered.size(), relays_per_domain));
    return ordered;
}

} // namespace

} // namespace internal

std::vector<core::host_id> relays_of_domain(const std::vector<link_peer>& peers,
                                            const core::domain_id& domain) {
    std::vector<core::host_id> relays;
    for (internal::candidate& chosen : internal::relay_candidates(peers, domain)) {
        relays.push_back(std::move(chosen.host));
    }
    return relays;
}

std::vector<core::host_id> relays_for(const std::vector<link_peer>& peers,
                                      const core::host_id& host, const core::domain_id& domain) {
    const std::vector<internal::candidate> relays = internal::relay_candidates(peers, domain);
    if (std::any_of(relays.begin(), relays.end(),
                    [&host](const internal::candidate& relay) { return relay.host == host; })) {
        return {};
    }
    return internal::rank("relay-of/" + host.value, relays);
}

std::chrono::milliseconds relay_loss_delay(const core::host_id& host) {
    const std::uint64_t hash = core::rendezvous_weight("relay-loss", host.value);
    return std::chrono::milliseconds{hash % relay_loss_spread.count()};
}

} // namespace lovagemoor::proxy
