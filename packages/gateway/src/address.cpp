#include <lovagemoor/gateway/address.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace lovagemoor::gateway {

boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    std::from_chars_result parsed{end, std::errc::invalid_argument};
    if (colon != std::string::npos) {
        parsed = std::from_chars(address.data() + colon + 1, end, port);
    }
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        throw boost::system::system_error{
            boost::system::errc::make_error_code(boost::system::errc::invalid_argument),
            "address \"" + address + "\" is not ip:port"};
    }
    const std::string ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        return {boost::asio::ip::make_address_v6(ip.substr(1, ip.size() - 2)), port};
    }
    return {boost::asio::ip::make_address(ip), port};
}

} // namespace lovagemoor::gateway
