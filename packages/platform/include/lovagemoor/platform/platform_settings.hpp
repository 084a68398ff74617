#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace lovagemoor::platform {

struct platform_settings {
    /// Addresses of the platform's key-value service, host:port with the host an IPv4 number.
    std::vector<std::string> endpoints;
    /// Sent with each call as the metadata value of lovagemoor-host.
    core::host_id host;
    /// Longest time from perform() to the end of a call, connection setup included.
    std::chrono::milliseconds call_timeout{2'000};
    /// Called for a record that cannot be decoded, from any thread; the record is left out.
    std::function<void(const std::string& key, std::error_code error)> undecodable_record;
};

} // namespace lovagemoor::platform
