#include <lovagemoor/gateway/target_connections.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::gateway {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// @return A codec that decodes each line as a complete reply.
statement_codec one_line_codec() {
    statement_codec codec;
    codec.encode_startup = [](const proxy::open_target& /*request*/, const std::string& /*host*/,
                              std::string& output) { output += "start\r\n"; };
    codec.decode_target_line = [](std::string_view /*line*/, reply_assembly& /*assembly*/) {
        return reply_progress::complete;
    };
    return codec;
}

struct greeting_case {
    const char* name;
    std::chrono::milliseconds greeted_after;
    /// The expected reason for closing; empty if the connection is expected to open.
    std::optional<proxy::target_close_reason> closed;

    friend std::ostream& operator<<(std::ostream& output, const greeting_case& value) {
        return output << value.name;
    }
};

const std::vector<greeting_case> greeting_cases{
    {"at once", 0ms, std::nullopt},
    {"after the connect timeout", 300ms, std::nullopt},
    {"too late", 1500ms, proxy::target_close_reason::timed_out},
};

} // namespace

// Guards against counting the wait for the greeting towards the connect timeout. On
// halgeld-pool-grown this made overloaded targets look dead, and connections to them were opened
// again and again.
BOOST_DATA_TEST_CASE(a_greeting_has_its_own_time_limit,
                     boost::unit_test::data::make(greeting_cases), sample) {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::optional<proxy::event> seen;
    target_connections connections{context, "host", one_line_codec(),
                                   [&](const proxy::event& event) {
                                       seen = event;
                                       context.stop();
                                   }};
    tcp::socket peer{context};
    boost::asio::steady_timer greeting{context};
    acceptor.async_accept(peer, [&](const boost::system::error_code& /*error*/) {
        greeting.expires_after(sample.greeted_after);
        greeting.async_wait([&](const boost::system::error_code& error) {
            if (!error) {
                boost::asio::write(peer, boost::asio::buffer(std::string{"hello\r\n"}));
            }
        });
    });
    proxy::open_target request;
    request.connection = 1;
    request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.connect_timeout = 100ms;
    request.greeting_timeout = 1000ms;
    connections.perform(request);
    context.run_for(5s);
    BOOST_REQUIRE(seen.has_value());
    const auto* const closed = std::get_if<proxy::target_disconnected>(&*seen);
    BOOST_TEST((closed != nullptr) == sample.closed.has_value());
    BOOST_TEST((closed == nullptr || closed->reason == *sample.closed));
}

// Guards against an answer that was cut before its result and counts as a success.
BOOST_AUTO_TEST_CASE(an_answer_without_a_result_is_malformed) {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::vector<proxy::event> seen;
    target_connections connections{context, "host", one_line_codec(),
                                   [&](const proxy::event& event) {
                                       seen.push_back(event);
                                       if (seen.size() == 2) {
                                           context.stop();
                                       }
                                   }};
    tcp::socket peer{context};
    acceptor.async_accept(peer, [&](const boost::system::error_code& /*error*/) {
        boost::asio::write(peer, boost::asio::buffer(std::string{"greeting\r\nanswer\r\n"}));
    });
    proxy::open_target request;
    request.connection = 1;
    request.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    request.connect_timeout = 1000ms;
    request.greeting_timeout = 1000ms;
    connections.perform(request);
    context.run_for(5s);
    BOOST_REQUIRE(seen.size() == 2U);
    BOOST_TEST(std::holds_alternative<proxy::target_connected>(seen.front()));
    const auto* const closed = std::get_if<proxy::target_disconnected>(&seen.back());
    BOOST_REQUIRE(closed != nullptr);
    BOOST_TEST((closed->reason == proxy::target_close_reason::malformed));
}

} // namespace lovagemoor::gateway
