#include <lovagemoor/core/placement.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace lovagemoor::core {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<host_id> rank_hosts(std::string_view key, std::vector<host_id> hosts) {
    std::vector<std::pair<std::uint64_t, host_id>> weighted;
    weighted.reserve(hosts.size());
    for (host_id& host : hosts) {
        const std::uint64_t weight = rendezvous_weight(key, host.value);
        weighted.emplace_back(weight, std::move(host));
    }
    std::sort(weighted.begin(), weighted.end(),
              [](const auto& left, const auto& right) { return left > right; });
    std::vector<host_id> ranked;
    ranked.reserve(weighted.size());
    for (std::pair<std::uint64_t, host_id>& entry : weighted) {
        ranked.push_back(std::move(entry.second));
    }
    return ranked;
}

const host_id& best_host(std::string_view key, const std::vector<host_id>& hosts) {
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    const host_id* best = &hosts.front();
    std::uint64_t best_weight = 0;
    for (const host_id& host : hosts) {
        const std::uint64_t weight =
            XXH3_64bits_withSeed(host.value.data(), host.value.size(), seed);
        if (std::tie(weight, host) > std::tie(best_weight, *best)) {
            best = &host;
            best_weight = weight;
        }
    }
    return *best;
}

const group_id& select_group(std::string_view shard_key, const std::vector<group_id>& groups) {
    return *std::max_element(groups.begin(), groups.end(),
                             [shard_key](const group_id& left, const group_id& right) {
                                 return rendezvous_weight(shard_key, left.value) <
                                        rendezvous_weight(shard_key, right.value);
                             });
}

} // namespace lovagemoor::core
