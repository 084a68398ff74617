#pragma once

#include <standin.pb.h>
#include <zmq.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lovagemoor::standin_target {

/// @brief ZeroMQ sockets between the members of a group; messages may be lost.
class replication_link {
public:
    /// @param address IP number to bind to and to reach the other members at.
    /// @param port 0 for an ephemeral port.
    replication_link(std::string address, std::uint16_t port);

    [[nodiscard]] std::uint16_t port() const;

    /// @brief Replaces the members that messages can be sent to.
    void set_members(const std::map<std::string, std::uint16_t>& ports);

    void send(const std::string& to, const v1::ReplicationMessage& message);

    /// @return Nothing when no message is waiting.
    [[nodiscard]] std::optional<v1::ReplicationMessage> receive();

    /// @brief Socket to poll for received messages.
    [[nodiscard]] void* handle() { return inbound_.handle(); }

private:
    std::string address_;
    zmq::context_t context_;
    zmq::socket_t inbound_;
    std::map<std::string, zmq::socket_t> outbound_;
};

} // namespace lovagemoor::standin_target
