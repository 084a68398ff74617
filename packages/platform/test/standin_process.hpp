#pragma once

#include <cstdint>
#include <sys/types.h>

namespace lovagemoor::platform {

/// @brief A standin_platform process that ends with this object.
class standin_process {
public:
    /// @param port 0 takes a free port.
    explicit standin_process(std::uint16_t port = 0);
    ~standin_process();

    standin_process(const standin_process&) = delete;
    standin_process& operator=(const standin_process&) = delete;
    standin_process(standin_process&&) = delete;
    standin_process& operator=(standin_process&&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    pid_t process_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace lovagemoor::platform
