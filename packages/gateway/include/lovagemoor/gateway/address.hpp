#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace lovagemoor::gateway {

/// Pause after a connection could not be accepted. Without a free file descriptor, each attempt
/// fails at once, and attempts without a pause would take a whole processor.
inline constexpr std::chrono::milliseconds accept_retry_pause{20};

/// @param address IP address and port as ip:port; an IPv6 address may stand in brackets.
/// @throws boost::system::system_error when the text is not an IP address with a port.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace lovagemoor::gateway
