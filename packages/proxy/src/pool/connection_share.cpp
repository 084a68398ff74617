#include <lovagemoor/proxy/pool/connection_share.hpp>

#include <algorithm>

namespace lovagemoor::proxy {

namespace internal {

namespace {

/// Hosts assumed while their list is unknown, as in the reference deployments.
constexpr std::size_t assumed_hosts = 18;

} // namespace

} // namespace internal

unsigned connection_share(unsigned limit, std::size_t hosts) noexcept {
    const std::size_t sharers = hosts == 0 ? internal::assumed_hosts : hosts;
    return std::max(1U, static_cast<unsigned>(limit / sharers));
}

} // namespace lovagemoor::proxy
