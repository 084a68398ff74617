#include <lovagemoor/proxy/promotion/observers.hpp>

#include <algorithm>
#include <functional>
#include <string>

namespace lovagemoor::proxy {

std::set<core::host_id> choose_observers(const core::service_id& service,
                                         const std::vector<core::host_id>& hosts) {
    std::vector<core::host_id> ranked = hosts;
    if (ranked.size() > max_observers) {
        const std::hash<std::string> weight;
        std::sort(ranked.begin(), ranked.end(),
                  [&](const core::host_id& left, const core::host_id& right) {
                      return weight(left.value + service.value) >
                             weight(right.value + service.value);
                  });
        ranked.resize(max_observers);
    }
    return {ranked.begin(), ranked.end()};
}

} // namespace lovagemoor::proxy
