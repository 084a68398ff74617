#include <lovagemoor/proxy/promotion/suspicion_quorum.hpp>

namespace lovagemoor::proxy {

bool confirms_loss(const suspicion_count& count) noexcept {
    if (count.reporters == 0) {
        return false;
    }
    if (count.reporters * 2 > count.hosts) {
        return true;
    }
    const bool spread = count.domains == 1 || count.reporting_domains > 1;
    return count.reporters > 1 && count.reporters * 4 >= count.hosts && spread;
}

} // namespace lovagemoor::proxy
