#include <lovagemoor/telemetry/wakeup_descriptor.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace lovagemoor::telemetry {

wakeup_descriptor::wakeup_descriptor() : descriptor_{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)} {
    if (descriptor_ < 0) {
        throw std::system_error{errno, std::system_category(), "eventfd"};
    }
}

wakeup_descriptor::~wakeup_descriptor() {
    ::close(descriptor_);
}

void wakeup_descriptor::signal() noexcept {
    // Fails only when the counter is at its maximum, and then the descriptor is readable anyway.
    (void)::eventfd_write(descriptor_, 1);
}

void wakeup_descriptor::clear() noexcept {
    eventfd_t count = 0;
    (void)::eventfd_read(descriptor_, &count);
}

} // namespace lovagemoor::telemetry
