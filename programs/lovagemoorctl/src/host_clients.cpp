#include "host_clients.hpp"

#include <grpcpp/grpcpp.h>

namespace lovagemoor::ctl {

std::vector<host_client> connect(const std::vector<std::string>& addresses) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    std::vector<host_client> clients;
    clients.reserve(addresses.size());
    for (const std::string& address : addresses) {
        clients.push_back({address, proto::Operators::NewStub(grpc::CreateCustomChannel(
                                        address, grpc::InsecureChannelCredentials(), arguments))});
    }
    return clients;
}

call_result to_call_result(const grpc::Status& status) {
    if (status.ok()) {
        return call_result::answered;
    }
    // Only this text in the message tells that gRPC did not connect and so did not send the call.
    const bool is_unsent = status.error_code() == grpc::StatusCode::UNAVAILABLE &&
                           status.error_message().find("failed to connect") != std::string::npos;
    return is_unsent ? call_result::not_sent : call_result::outcome_unknown;
}

void set_deadline(grpc::ClientContext& context, std::chrono::milliseconds timeout) {
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

} // namespace lovagemoor::ctl
