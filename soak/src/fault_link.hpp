#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::soak {

/// @brief The faults of a link. By default it has none.
struct link_fault {
    std::chrono::milliseconds delay{0};
    /// Holds the bytes sent to the destination until the fault ends.
    bool holds_forward = false;
    /// Holds the bytes sent by the destination until the fault ends.
    bool holds_backward = false;
    /// Resets new connections.
    bool resets_new_connections = false;
};

/// @brief TCP relay on loopback in front of one server that can inject faults.
class fault_link {
public:
    fault_link(boost::asio::io_context& context, std::uint16_t destination);

    [[nodiscard]] std::string address() const;

    void apply(const link_fault& fault);

    /// @brief Resets all connections.
    void reset();

private:
    class relayed_connection;

    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t destination_;
    std::shared_ptr<link_fault> fault_;
    std::vector<std::weak_ptr<relayed_connection>> connections_;
};

} // namespace lovagemoor::soak
