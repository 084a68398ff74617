#include <lovagemoor/proxy/promotion/observers.hpp>

#include <lovagemoor/core/placement.hpp>

namespace lovagemoor::proxy {

std::set<core::host_id> choose_observers(const core::service_id& service,
                                         const std::vector<core::host_id>& hosts) {
    if (hosts.size() <= max_observers) {
        return {hosts.begin(), hosts.end()};
    }
    const std::vector<core::host_id> ranked = core::rank_hosts(service.value, hosts);
    return {ranked.begin(), ranked.begin() + max_observers};
}

} // namespace lovagemoor::proxy
