#pragma once

#include <lovagemoor/core/outcome.hpp>
#include <lovagemoor/core/request.hpp>
#include <lovagemoor/core/statement.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::testbed {

/// @brief Result of one call, as the caller received it.
struct call_reply {
    /// False if the connection to the host broke before the outcome arrived.
    bool complete = false;
    core::outcome result = core::outcome_unknown{};
    std::vector<core::row> rows;
    std::string session_token;
    std::string transaction;

    /// @return True if the outcome arrived and is `done`.
    [[nodiscard]] bool is_done() const noexcept {
        return complete && std::holds_alternative<core::done>(result);
    }
};

/// @return The outcome of a reply as text for messages.
[[nodiscard]] std::string describe(const call_reply& reply);

/// @brief gRPC client that calls a host through its caller interface.
class caller_client {
public:
    using callback = std::function<void(const call_reply&)>;

    /// @param address Caller address of a host, in the form host:port.
    explicit caller_client(const std::string& address);
    caller_client(caller_client&&) noexcept;
    caller_client& operator=(caller_client&&) noexcept;
    caller_client(const caller_client&) = delete;
    caller_client& operator=(const caller_client&) = delete;
    ~caller_client();

    /// @brief Starts a call. The callback runs on one of gRPC's threads.
    void execute_async(const core::execute_request& request, callback finished);

    [[nodiscard]] call_reply execute(const core::execute_request& request);
    [[nodiscard]] call_reply begin(const core::begin_request& request);
    [[nodiscard]] call_reply end(const core::end_request& request);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace lovagemoor::testbed
