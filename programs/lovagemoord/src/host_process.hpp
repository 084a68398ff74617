#pragma once

#include "engine_task.hpp"

#include <lovagemoor/caller/caller_task.hpp>
#include <lovagemoor/host/peer_task.hpp>
#include <lovagemoor/operators/operator_task.hpp>
#include <lovagemoor/platform/platform_task.hpp>
#include <lovagemoor/settings/host_settings.hpp>
#include <lovagemoor/target/target_task.hpp>
#include <lovagemoor/telemetry/logger.hpp>
#include <lovagemoor/telemetry/metrics.hpp>

#include <memory>
#include <string>

namespace lovagemoor {

/// @brief A host with peer connections: the engine, its drivers, and the mailbox through which the
/// drivers send events to the engine.
class host_process {
public:
    /// @param session_key Contents of the session key file.
    /// @throws std::runtime_error when an address cannot be bound.
    host_process(const settings::host_settings& settings, std::string session_key);

    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;
    host_process(host_process&&) = delete;
    host_process& operator=(host_process&&) = delete;

    /// @brief Waits for a limited time until callers have read their last answers, then stops all
    /// tasks.
    ~host_process();

    /// @return A line of key=value pairs with the addresses that the host listens on.
    [[nodiscard]] std::string ready_line() const;

    /// @brief Starts a graceful stop. finished() returns true once it is complete.
    void drain();

    [[nodiscard]] bool finished() const noexcept { return engine_->finished(); }

    /// @brief Copies the peers' traffic counters and the length of the engine's queue into the
    /// metrics.
    void update_gauges();

private:
    void perform(const core::action& value);
    [[nodiscard]] core::engine_identity make_identity(const settings::host_settings& settings,
                                                      std::string session_key) const;

    engine_task::event_mailbox inbox_;
    telemetry::logger logger_;
    std::unique_ptr<telemetry::metrics> metrics_;
    host::peer_task peers_;
    target::target_task targets_;
    platform::platform_task platform_;
    caller::caller_task callers_;
    operators::operator_task operators_;
    std::unique_ptr<engine_task> engine_;
};

} // namespace lovagemoor
