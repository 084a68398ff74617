#pragma once

#include <cstdint>
#include <sys/types.h>

namespace lovagemoor::platform {

/// @brief Runs a standin_platform process, which the destructor terminates.
class standin_process {
public:
    /// @param port Port to listen on. With 0 the operating system assigns a free port.
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
