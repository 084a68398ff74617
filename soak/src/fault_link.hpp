#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lovagemoor::soak {

/// @brief What a link does to the bytes that it carries.
struct link_fault {
    std::chrono::milliseconds delay{0};
    /// Bytes towards the destination are held until the fault ends.
    bool holds_forward = false;
    /// Bytes from the destination are held until the fault ends.
    bool holds_backward = false;
    /// New connections are reset.
    bool resets_new_connections = false;
};

/// @brief TCP relay on loopback in front of one server, with faults.
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
