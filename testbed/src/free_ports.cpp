#include <lovagemoor/testbed/free_ports.hpp>

// Boost 1.74's asio uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>

#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace lovagemoor::testbed {

namespace internal {

constexpr std::uint32_t first_port = 10'000;
constexpr std::uint32_t port_count = 20'000;
constexpr std::uint32_t ports_per_process = 200;

bool is_free(std::uint16_t port) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context};
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address{true}, error);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    return !error;
}

} // namespace internal

std::vector<std::uint16_t> find_free_ports(std::size_t count) {
    static std::atomic<std::uint32_t> next_offset{0};
    const std::uint32_t base = static_cast<std::uint32_t>(getpid()) * internal::ports_per_process;
    std::vector<std::uint16_t> ports;
    ports.reserve(count);
    for (std::uint32_t attempt = 0; attempt < internal::port_count; ++attempt) {
        if (ports.size() == count) {
            return ports;
        }
        const std::uint32_t offset = (base + next_offset++) % internal::port_count;
        const std::uint16_t port = static_cast<std::uint16_t>(internal::first_port + offset);
        if (internal::is_free(port)) {
            ports.push_back(port);
        }
    }
    throw std::runtime_error{"not enough free ports on 127.0.0.1"};
}

} // namespace lovagemoor::testbed
