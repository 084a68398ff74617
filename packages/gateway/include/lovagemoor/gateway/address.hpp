#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace lovagemoor::gateway {

/// @param address IP address and port as ip:port; an IPv6 address may stand in brackets.
/// @throws boost::system::system_error when the text is not an IP address with a port.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace lovagemoor::gateway
