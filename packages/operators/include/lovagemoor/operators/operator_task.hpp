#pragma once

#include <lovagemoor/core/action.hpp>
#include <lovagemoor/core/event.hpp>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace lovagemoor::operators {

/// @brief Settings of the administration API.
struct operator_settings {
    /// Address to listen on, as host:port. With port 0 the operating system assigns a free port.
    std::string listen = "127.0.0.1:0";
};

/// @brief Thrown when the server cannot listen on operator_settings::listen.
class listen_error : public std::runtime_error {
public:
    explicit listen_error(const std::string& address);
};

/// @brief Serves the Operators gRPC service of operators.proto.
///
/// Each call is reported as operator_called and ends with the action answer_operator. A change
/// without an operation identifier, or without a valid service, is answered as invalid without
/// being passed to the core.
class operator_task {
public:
    /// @param sink Is called with each event on threads of gRPC and must not block.
    /// @throws listen_error when the server cannot listen on the address.
    operator_task(const operator_settings& settings, std::function<void(core::event)> sink);

    operator_task(const operator_task&) = delete;
    operator_task& operator=(const operator_task&) = delete;
    operator_task(operator_task&&) = delete;
    operator_task& operator=(operator_task&&) = delete;

    /// @brief Ends the remaining calls with the status UNAVAILABLE and stops the server.
    ~operator_task();

    /// @return The address with the port in use, as host:port.
    [[nodiscard]] const std::string& address() const noexcept;

    /// @brief Sends the answer to a call. Thread-safe; never blocks.
    void perform(const core::answer_operator& action);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::operators
