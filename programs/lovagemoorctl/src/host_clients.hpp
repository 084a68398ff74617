#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <operators.grpc.pb.h>

namespace lovagemoor::ctl {

namespace proto = lovagemoor::operators::v1;

/// @brief Client of the administration API of one host.
struct host_client {
    std::string address;
    std::unique_ptr<proto::Operators::Stub> stub;
};

/// @brief How a call to a host ended.
enum class call_result {
    answered,
    /// No connection to the host could be made, so the host has not seen the call.
    not_sent,
    /// The call failed after it may have reached the host.
    outcome_unknown,
};

/// @brief Creates a client for each host. A connection is opened by the first call over it.
/// @param addresses host:port of each host's administration API.
[[nodiscard]] std::vector<host_client> connect(const std::vector<std::string>& addresses);

/// @brief Converts the gRPC status of a call to its result.
[[nodiscard]] call_result to_call_result(const grpc::Status& status);

/// @brief Sets the deadline of one call to the current time plus the timeout.
void set_deadline(grpc::ClientContext& context, std::chrono::milliseconds timeout);

} // namespace lovagemoor::ctl
