#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace lovagemoor::gateway::internal {

/// @param address ip:port
/// @throws boost::system::system_error when it is not an IP number with a port.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace lovagemoor::gateway::internal
