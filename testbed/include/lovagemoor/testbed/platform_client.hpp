#pragma once

#include <lovagemoor/core/peer_message.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Writes records to the stand-in of the platform and injects its faults.
class platform_client {
public:
    explicit platform_client(const std::string& address);
    platform_client(platform_client&&) noexcept;
    platform_client& operator=(platform_client&&) noexcept;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    ~platform_client();

    /// @brief Writes a record without a condition.
    /// @throws std::runtime_error when the call fails.
    void put(const core::platform_record& record);

    /// @return The record of a group's term, or nothing when it does not exist.
    [[nodiscard]] std::optional<core::term_record> read_term(const core::group_id& group);

    void set_outage(bool enabled);
    void set_delay(std::chrono::milliseconds delay);
    void drop_write_responses(std::uint32_t writes);
    void block_hosts(const std::vector<core::host_id>& hosts);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::testbed
