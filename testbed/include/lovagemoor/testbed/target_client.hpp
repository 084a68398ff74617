#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Direct libpq connection to a stand-in target, for fault controls and for checking data
/// without the proxy.
class target_client {
public:
    explicit target_client(std::uint16_t port);
    target_client(target_client&&) noexcept;
    target_client& operator=(target_client&&) noexcept;
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    ~target_client();

    /// @brief Sets a fault control of the stand-in.
    /// @throws std::runtime_error if the target rejects it.
    void control(const std::string& name, const std::string& value);

    /// @return The rows of a statement, with NULL as an empty string.
    /// @throws std::runtime_error if the statement fails.
    [[nodiscard]] std::vector<std::vector<std::string>> query(const std::string& sql);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::testbed
