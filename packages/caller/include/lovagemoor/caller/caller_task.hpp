#pragma once

#include <lovagemoor/caller/caller_settings.hpp>
#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace lovagemoor::caller {

/// @brief The address of caller_settings::listen cannot be bound.
class listen_error : public std::runtime_error {
public:
    explicit listen_error(const std::string& address);
};

/// @brief Serves the Caller gRPC service of caller.proto.
///
/// A call becomes caller_called and ends with answer_caller; a call that the caller ends early
/// becomes caller_cancelled. A message with missing or invalid fields is refused here as
/// invalid_request and does not reach the core.
class caller_task {
public:
    /// @param sink Receives the events on gRPC's threads; must not block.
    /// @throws listen_error when the address cannot be bound.
    caller_task(const caller_settings& settings, std::function<void(core::event)> sink);

    caller_task(const caller_task&) = delete;
    caller_task& operator=(const caller_task&) = delete;
    caller_task(caller_task&&) = delete;
    caller_task& operator=(caller_task&&) = delete;

    /// @brief Ends the remaining calls and stops the server.
    ~caller_task();

    /// @return The address with the port in use, host:port.
    [[nodiscard]] const std::string& address() const noexcept;

    /// @brief These functions are thread-safe and never block.
    /// @{
    void perform(const core::send_rows_to_caller& action);
    void perform(const core::answer_caller& action);
    /// @}

    /// @brief Stops accepting calls and waits until the answers in progress are delivered.
    /// @param limit Calls that last longer are cancelled.
    void shutdown(std::chrono::milliseconds limit);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::caller
