#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace lovagemoor::standin_platform {

/// @brief gRPC server of the stand-in for the platform's key-value service. It serves the etcd v3
/// subset of etcd.proto and the control service of standin_platform.proto on one loopback port.
class platform_server {
public:
    /// Default number of events that are kept for watches that start in the past.
    static constexpr std::size_t default_history_limit = 10'000;

    /// @param port Port on 127.0.0.1; 0 selects a free port.
    /// @param history_limit Number of events that are kept for watches.
    explicit platform_server(std::uint16_t port, std::size_t history_limit = default_history_limit);

    /// @brief Ends all watches and stops the server.
    ~platform_server();

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;

    /// @return The bound port, or 0 if the server couldn't listen.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::standin_platform
