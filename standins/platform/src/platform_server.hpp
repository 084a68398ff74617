#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace lovagemoor::standin_platform {

/// @brief gRPC server of the platform's test double: the etcd v3 subset of etcd.proto and the
/// control service of standin_platform.proto, on one loopback port.
class platform_server {
public:
    /// Events kept for watches that start in the past.
    static constexpr std::size_t default_history_limit = 10'000;

    /// @param port Port on 127.0.0.1; 0 takes a free one.
    /// @param history_limit Number of events that are kept for watches.
    explicit platform_server(std::uint16_t port, std::size_t history_limit = default_history_limit);

    /// @brief Ends all watches and stops the server.
    ~platform_server();

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;

    /// @return The bound port, 0 when the server could not listen.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::standin_platform
