#include "replication_link.hpp"

#include <utility>

namespace lovagemoor::standin_target {

namespace {

std::string endpoint(const std::string& address, const std::string& port) {
    return "tcp://" + address + ":" + port;
}

} // namespace

replication_link::replication_link(std::string address, std::uint16_t port)
    : address_(std::move(address)), inbound_(context_, zmq::socket_type::pull) {
    inbound_.set(zmq::sockopt::linger, 0);
    inbound_.bind(endpoint(address_, port == 0 ? "*" : std::to_string(port)));
}

std::uint16_t replication_link::port() const {
    const std::string bound = inbound_.get(zmq::sockopt::last_endpoint);
    return static_cast<std::uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
}

void replication_link::set_members(const std::map<std::string, std::uint16_t>& ports) {
    constexpr int reconnect_ms = 20;
    constexpr int max_reconnect_ms = 100;
    outbound_.clear();
    for (const auto& [id, port] : ports) {
        zmq::socket_t socket(context_, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        // Messages to a member that is down are dropped instead of queued until it reconnects.
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_ms);
        socket.connect(endpoint(address_, std::to_string(port)));
        outbound_.emplace(id, std::move(socket));
    }
}

void replication_link::send(const std::string& to, const v1::ReplicationMessage& message) {
    const auto socket = outbound_.find(to);
    if (socket != outbound_.end()) {
        // The result is empty if the member is not connected. It is ignored because the caller of
        // send() repeats its messages.
        static_cast<void>(socket->second.send(zmq::buffer(message.SerializeAsString()),
                                              zmq::send_flags::dontwait));
    }
}

std::optional<v1::ReplicationMessage> replication_link::receive() {
    zmq::message_t frame;
    if (!inbound_.recv(frame, zmq::recv_flags::dontwait)) {
        return std::nullopt;
    }
    v1::ReplicationMessage message;
    // A message that cannot be parsed has no kind, and the receiver ignores messages without one.
    static_cast<void>(message.ParseFromArray(frame.data(), static_cast<int>(frame.size())));
    return message;
}

} // namespace lovagemoor::standin_target
