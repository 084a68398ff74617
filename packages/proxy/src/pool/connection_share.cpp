#include <lovagemoor/proxy/pool/connection_share.hpp>

#include <algorithm>
#include <functional>
#include <string>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Hosts assumed while their list is unknown, as in the reference deployments.
constexpr std::size_t assumed_hosts = 18;

/// Connections beyond a target's slots that still find work: some wait inside transactions.
constexpr unsigned useful_beyond_slots = 3;

unsigned share_of(const connection_limit& limit) noexcept {
    const std::size_t sharers = limit.hosts == 0 ? assumed_hosts : limit.hosts;
    return static_cast<unsigned>(limit.connections / sharers);
}

} // namespace

} // namespace internal

unsigned most_connections(const connection_limit& limit) noexcept {
    const unsigned share = internal::share_of(limit);
    const unsigned useful = limit.slots + internal::useful_beyond_slots;
    return std::max({1U, share, std::min(2 * share, useful)});
}

unsigned kept_connections(const connection_limit& limit, bool home) noexcept {
    const unsigned half = internal::share_of(limit) / 2;
    return half > 0 ? half : (home ? 1U : 0U);
}

core::target_id home_target(const core::host_id& host,
                            const std::vector<core::target_id>& candidates) {
    const std::hash<std::string> weight;
    return *std::max_element(candidates.begin(), candidates.end(),
                             [&](const core::target_id& left, const core::target_id& right) {
                                 return weight(host.value + left.value) <
                                        weight(host.value + right.value);
                             });
}

} // namespace lovagemoor::proxy
