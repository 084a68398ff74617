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
/// connection ends as platform_unavailable. A write that fails after it was sent ends as
/// platform_unknown, a read as platform_unavailable.
class platform_task {
public:
    /// @param settings Endpoints, own host id and time limits.
    /// @param sink Receives platform_finished, platform_changed and platform_watch_lost; called
    /// from several threads, and not after the destructor has returned. It must not block.
    platform_task(platform_settings settings, std::function<void(core::event)> sink);

    /// @brief Cancels the outstanding calls and the watch and stops the task. The host's record
    /// stays until its lease ends.
    ~platform_task();

    platform_task(const platform_task&) = delete;
    platform_task& operator=(const platform_task&) = delete;
    platform_task(platform_task&&) = delete;
    platform_task& operator=(platform_task&&) = delete;

    /// @brief Starts a call; thread-safe, never blocks.
    ///
    /// set_watch first delivers the present records as platform_changed, then platform_ok, then
    /// changes; deletions are not reported. It replaces a running watch. A watch that ends by
    /// itself gives platform_watch_lost. After register_host the lease is kept alive, and the
    /// record is written again when the lease was lost.
    void perform(const core::call_platform& call);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::platform
