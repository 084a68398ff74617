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

/// @brief Thrown when the server cannot listen on caller_settings::listen.
class listen_error : public std::runtime_error {
public:
    explicit listen_error(const std::string& address);
};

/// @brief Serves the Caller gRPC service of caller.proto.
///
/// Each call is reported as caller_called and ends with the action answer_caller. A call that ends
/// before the core has answered it is reported as caller_cancelled. A message with missing or
/// invalid fields is refused as invalid_request without being passed to the core.
class caller_task {
public:
    /// @param sink Is called with each event on threads of gRPC and must not block.
    /// @throws listen_error when the server cannot listen on the address.
    caller_task(const caller_settings& settings, std::function<void(core::event)> sink);

    caller_task(const caller_task&) = delete;
    caller_task& operator=(const caller_task&) = delete;
    caller_task(caller_task&&) = delete;
    caller_task& operator=(caller_task&&) = delete;

    /// @brief Cancels the remaining calls and stops the server.
    ~caller_task();

    /// @return The address with the port in use, as host:port.
    [[nodiscard]] const std::string& address() const noexcept;

    /// @brief Sends rows or the outcome to the caller of a call. Thread-safe; never blocks. Has no
    /// effect when the call has ended.
    /// @{
    void perform(const core::send_rows_to_caller& action);
    void perform(const core::answer_caller& action);
    /// @}

    /// @brief Waits for the calls in progress and stops the server.
    /// @param limit Maximum time to wait until the core has answered all calls, and again until the
    /// answers are delivered. Calls that last longer are cancelled.
    void shutdown(std::chrono::milliseconds limit);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::caller
