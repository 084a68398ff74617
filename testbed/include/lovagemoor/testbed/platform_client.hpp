#pragma once

#include <lovagemoor/core/peer_message.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Client of the platform's stand-in that reads and writes records and injects faults.
class platform_client {
public:
    explicit platform_client(const std::string& address);
    platform_client(platform_client&&) noexcept;
    platform_client& operator=(platform_client&&) noexcept;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    ~platform_client();

    /// @brief Writes a record without a condition.
    /// @throws std::runtime_error if the call fails.
    void put(const core::platform_record& record);

    /// @return The term record of a group, or nothing if it doesn't exist.
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
