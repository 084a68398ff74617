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
    /// Address to listen on, host:port; port 0 takes an ephemeral port.
    std::string listen = "127.0.0.1:0";
};

/// @brief The address of operator_settings::listen cannot be bound.
class listen_error : public std::runtime_error {
public:
    explicit listen_error(const std::string& address);
};

/// @brief Serves the Operators gRPC service of operators.proto.
///
/// Each call becomes operator_called and ends with answer_operator. A change without an operation
/// identifier or without a service is answered as invalid and does not reach the core.
class operator_task {
public:
    /// @param sink Receives the events on gRPC's threads; must not block.
    /// @throws listen_error when the address cannot be bound.
    operator_task(const operator_settings& settings, std::function<void(core::event)> sink);

    operator_task(const operator_task&) = delete;
    operator_task& operator=(const operator_task&) = delete;
    operator_task(operator_task&&) = delete;
    operator_task& operator=(operator_task&&) = delete;

    /// @brief Ends the remaining calls as unavailable and stops the server.
    ~operator_task();

    /// @return The address with the port in use, host:port.
    [[nodiscard]] const std::string& address() const noexcept;

    /// @brief Answers a call; thread-safe, never blocks.
    void perform(const core::answer_operator& action);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::operators
