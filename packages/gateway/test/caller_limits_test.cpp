#include <lovagemoor/gateway/caller_listener.hpp>
#include <lovagemoor/gateway/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::gateway {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

std::uint16_t free_port() {
    boost::asio::io_context context;
    const tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return acceptor.local_endpoint().port();
}

/// @return A codec whose first line opens a session, and which takes all others as statements.
statement_codec plain_codec() {
    statement_codec codec;
    codec.decode_caller_line = [](std::string_view line) -> caller_message {
        return line == "start" ? caller_message{startup_message{"d", ""}}
                               : caller_message{proxy::statement{}};
    };
    codec.encode_rejection = [](const proxy::statement_error& error, std::string& output) {
        output += error.text + "\r\n";
    };
    return codec;
}

struct pause_case {
    const char* name;
    /// Sent at once.
    const char* first;
    /// Bytes that follow one by one, with pauses below the time limit.
    std::size_t following;
    std::optional<caller_close_reason> expected;

    friend std::ostream& operator<<(std::ostream& output, const pause_case& value) {
        return output << value.name;
    }
};

const std::vector<pause_case> pauses{
    {"nothing is sent", "", 0, caller_close_reason::start_timeout},
    {"half a start line", "sta", 0, caller_close_reason::start_timeout},
    {"a steady start line", "", 20, std::nullopt},
    {"an idle session", "start\r\n", 0, std::nullopt},
    {"half a message", "start\r\nabc", 0, caller_close_reason::message_timeout},
    {"a steady message", "start\r\nabc", 20, std::nullopt},
};

} // namespace

// Guards against callers that stop half-way and keep their connections, and against time limits
// that close slow but steady ones or idle sessions.
BOOST_DATA_TEST_CASE(callers_without_progress_are_closed, boost::unit_test::data::make(pauses),
                     sample) {
    boost::asio::io_context context;
    caller_limits limits;
    limits.start_timeout = 200ms;
    limits.message_timeout = 200ms;
    const std::uint16_t port = free_port();
    caller_listener listener{context, "127.0.0.1:" + std::to_string(port), limits, plain_codec(),
                             [](const proxy::event& /*event*/) {}};
    std::optional<caller_close_reason> closed;
    caller_accounting accounting;
    accounting.on_closed = [&closed](caller_close_reason reason) { closed = reason; };
    listener.set_accounting(accounting);
    boost::asio::io_context client_context;
    tcp::socket client{client_context};
    client.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(client, boost::asio::buffer(std::string{sample.first}));
    for (std::size_t sent = 0; sent < sample.following; ++sent) {
        context.run_for(30ms);
        boost::asio::write(client, boost::asio::buffer(std::string{"x"}));
    }
    context.run_for(sample.following > 0 ? 50ms : 600ms);
    BOOST_TEST((closed == sample.expected));
    BOOST_TEST(listener.session_count() == (sample.expected.has_value() ? 0U : 1U));
}

// Guards against a listener that takes the descriptors which other parts of the host need.
BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_closed) {
    boost::asio::io_context context;
    caller_limits limits;
    limits.max_sessions = 3;
    const std::uint16_t port = free_port();
    const caller_listener listener{context, "127.0.0.1:" + std::to_string(port), limits,
                                   plain_codec(), [](const proxy::event& /*event*/) {}};
    boost::asio::io_context client_context;
    std::vector<tcp::socket> clients;
    for (int index = 0; index < 5; ++index) {
        clients.emplace_back(client_context);
        clients.back().connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }
    context.run_for(100ms);
    BOOST_TEST(listener.session_count() == 3U);
    char byte = 0;
    boost::system::error_code error;
    clients.back().read_some(boost::asio::buffer(&byte, 1), error);
    BOOST_TEST((error == boost::asio::error::eof));
}

// Guards against a crowd of idle connections that keeps a probe from its answer.
BOOST_AUTO_TEST_CASE(a_new_http_connection_takes_the_place_of_the_oldest) {
    boost::asio::io_context context;
    http_server::limits limits;
    limits.connections = 2;
    int asked = 0;
    const http_server server{context, "127.0.0.1:0",
                             [&asked](const http_server::request& /*request*/) {
                                 ++asked;
                                 return http_server::response{};
                             },
                             limits};
    boost::asio::io_context client_context;
    std::vector<tcp::socket> clients;
    for (int index = 0; index < 3; ++index) {
        clients.emplace_back(client_context);
        clients.back().connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        context.run_for(20ms);
    }
    boost::asio::write(clients.back(), boost::asio::buffer(std::string{"GET / HTTP/1.1\r\n\r\n"}));
    context.run_for(100ms);
    BOOST_TEST(asked == 1);
    char byte = 0;
    boost::system::error_code error;
    clients.front().read_some(boost::asio::buffer(&byte, 1), error);
    BOOST_TEST((error == boost::asio::error::eof));
}

} // namespace lovagemoor::gateway
