#include <lovagemoor/gateway/caller_listener.hpp>
#include <lovagemoor/gateway/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace lovagemoor::gateway {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// @brief Leaves the process no free file descriptor during its lifetime.
class no_free_descriptors {
public:
    no_free_descriptors() {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(STDERR_FILENO);
        ::close(lowest_free);
        const rlimit limited{static_cast<rlim_t>(lowest_free), before_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &limited);
    }

    no_free_descriptors(const no_free_descriptors&) = delete;
    no_free_descriptors& operator=(const no_free_descriptors&) = delete;
    no_free_descriptors(no_free_descriptors&&) = delete;
    no_free_descriptors& operator=(no_free_descriptors&&) = delete;

    ~no_free_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

/// @brief Connects to a port while there is no free descriptor.
/// @return Number of handlers that the server runs in 300 ms.
std::size_t handlers_without_descriptors(boost::asio::io_context& context, tcp::socket& client,
                                         std::uint16_t port) {
    client.open(tcp::v4());
    const no_free_descriptors limited;
    client.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    return context.run_for(300ms);
}

/// Far above a few attempts in 300 ms, and far below those of a busy loop.
constexpr std::size_t max_handlers = 50;

} // namespace

// Guards against a host that takes a whole processor while it has no free file descriptor: each
// attempt to accept a connection fails at once.
BOOST_AUTO_TEST_CASE(an_http_server_waits_for_descriptors) {
    boost::asio::io_context context;
    bool asked = false;
    const http_server server{context, "127.0.0.1:0", [&](const http_server::request& /*request*/) {
                                 asked = true;
                                 context.stop();
                                 return http_server::response{};
                             }};
    boost::asio::io_context client_context;
    tcp::socket client{client_context};
    BOOST_TEST(handlers_without_descriptors(context, client, server.port()) < max_handlers);
    boost::asio::write(client, boost::asio::buffer(std::string{"GET / HTTP/1.1\r\n\r\n"}));
    context.restart();
    context.run_for(2s);
    BOOST_TEST(asked);
}

BOOST_AUTO_TEST_CASE(a_caller_listener_waits_for_descriptors) {
    boost::asio::io_context context;
    std::uint16_t port = 0;
    {
        const tcp::acceptor free{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
        port = free.local_endpoint().port();
    }
    const caller_listener listener{context,
                                   "127.0.0.1:" + std::to_string(port),
                                   caller_limits{.max_sessions = 10},
                                   {},
                                   [](const proxy::event& /*event*/) {}};
    boost::asio::io_context client_context;
    tcp::socket client{client_context};
    BOOST_TEST(handlers_without_descriptors(context, client, port) < max_handlers);
    BOOST_TEST(listener.session_count() == 0U);
    context.restart();
    context.run_for(1s);
    BOOST_TEST(listener.session_count() == 1U);
}

} // namespace lovagemoor::gateway
