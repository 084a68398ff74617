#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>
#include <lovagemoor/platform/fwd.hpp>
#include <lovagemoor/platform/platform_settings.hpp>

#include <functional>
#include <memory>

namespace lovagemoor::platform {

/// @brief Client of the platform's key-value service (etcd v3 over gRPC).
///
/// Each call ends with one core::platform_finished. A call that was not sent because there is no
/// connection ends with the result platform_unavailable. After a call was sent, a failed write ends
/// with platform_unknown and a failed read with platform_unavailable.
class platform_task {
public:
    /// @param settings The endpoints, the identifier of this host and the timeout of calls.
    /// @param sink Is called with platform_finished, platform_changed and platform_watch_lost on
    /// several threads, but not after the destructor has returned. It must not block.
    platform_task(platform_settings settings, std::function<void(core::event)> sink);

    /// @brief Cancels the outstanding calls and the watch, and stops the thread. The host's record
    /// stays in the platform until its lease expires.
    ~platform_task();

    platform_task(const platform_task&) = delete;
    platform_task& operator=(const platform_task&) = delete;
    platform_task(platform_task&&) = delete;
    platform_task& operator=(platform_task&&) = delete;

    /// @brief Starts a call. Thread-safe; never blocks.
    ///
    /// Enabling set_watch first reports the current records as platform_changed, then the result
    /// platform_ok and then each change as platform_changed. Deletions are not reported. A new
    /// watch replaces the previous one. A watch that ends without a request is reported as
    /// platform_watch_lost. After register_host the task renews the lease of the host's record, and
    /// writes the record again when the lease was lost.
    void perform(const core::call_platform& call);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::platform
