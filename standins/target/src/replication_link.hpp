#pragma once

#include <standin.pb.h>
#include <zmq.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lovagemoor::standin_target {

/// @brief Exchanges messages with the other members over ZeroMQ sockets; messages can be lost.
class replication_link {
public:
    /// @param address IP address that this member binds to and that all other members use.
    /// @param port Port to bind to; 0 selects an ephemeral port.
    replication_link(std::string address, std::uint16_t port);

    [[nodiscard]] std::uint16_t port() const;

    /// @brief Replaces the set of members that messages can be sent to.
    void set_members(const std::map<std::string, std::uint16_t>& ports);

    void send(const std::string& to, const v1::ReplicationMessage& message);

    /// @return Next received message, or an empty optional if there is none.
    [[nodiscard]] std::optional<v1::ReplicationMessage> receive();

    /// @brief Socket that becomes readable when a message arrives.
    [[nodiscard]] void* handle() { return inbound_.handle(); }

private:
    std::string address_;
    zmq::context_t context_;
    zmq::socket_t inbound_;
    std::map<std::string, zmq::socket_t> outbound_;
};

} // namespace lovagemoor::standin_target
