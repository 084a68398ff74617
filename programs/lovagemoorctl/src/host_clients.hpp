#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <operators.grpc.pb.h>

namespace lovagemoor::ctl {

namespace proto = lovagemoor::operators::v1;

/// @brief Operators' connection to one host.
struct host_client {
    std::string address;
    std::unique_ptr<proto::Operators::Stub> stub;
};

/// @brief How a call to a host ended.
enum class call_result {
    answered,
    /// The call did not reach the host.
    not_sent,
    /// The call may have reached the host.
    outcome_unknown,
};

/// @brief Connects to hosts; the connections are made by the first calls.
/// @param addresses host:port of each host's administration API.
[[nodiscard]] std::vector<host_client> connect(const std::vector<std::string>& addresses);

/// @brief Classifies the end of a call.
[[nodiscard]] call_result to_call_result(const grpc::Status& status);

/// @brief Sets the deadline of one call.
void set_deadline(grpc::ClientContext& context, std::chrono::milliseconds timeout);

} // namespace lovagemoor::ctl
