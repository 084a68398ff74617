#include <lovagemoor/proxy/registry/restoration_delay.hpp>

#include <cstdint>

namespace lovagemoor::proxy {

std::chrono::milliseconds restoration_delay(const core::host_id& host) {
    // 64-bit FNV-1a
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char character : host.value) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3;
    }
    return std::chrono::milliseconds{hash % restoration_spread.count()};
}

} // namespace lovagemoor::proxy
