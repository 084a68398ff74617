#pragma once

#include <lovagemoor/core/ids.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace lovagemoor::platform {

/// @brief Settings of a platform_task.
struct platform_settings {
    /// Addresses of the platform's key-value service, each as an IPv4 address and a port:
    /// 127.0.0.1:2379.
    std::vector<std::string> endpoints;
    /// Identifier of this host, sent with each call in the metadata entry lovagemoor-host.
    core::host_id host;
    /// Maximum time from perform() to the end of a call, including the time to connect.
    std::chrono::milliseconds call_timeout{2'000};
    /// Is called, on any thread, for each record that cannot be decoded. The record is omitted.
    std::function<void(const std::string& key, std::error_code error)> undecodable_record;
};

} // namespace lovagemoor::platform
