#include <lovagemoor/link/host_link.hpp>

#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace {

namespace link = lovagemoor::link;
namespace core = lovagemoor::core;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

/// @brief A link that records what it receives.
struct recording_link {
    explicit recording_link(boost::asio::io_context& context, const std::string& name,
                            link::link_settings settings = {})
        : own{context, with_name(std::move(settings), name), handlers()} {}

    static link::link_settings with_name(link::link_settings settings, const std::string& name) {
        settings.self = core::host_id{name};
        settings.listen_address = "127.0.0.1:0";
        return settings;
    }

    link::link_handlers handlers() {
        return {[this](link::channel_id id, const core::host_id& peer, bool accepted) {
                    opened.push_back(peer.value);
                    if (accepted) {
                        accepted_channel = id;
                    }
                },
                [this](link::channel_id id, const link::frame& message) {
                    received.push_back(message);
                    if (message.has_quota_request()) {
                        link::frame answer;
                        answer.mutable_quota_grant()->set_number(message.quota_request().number());
                        own.send(id, answer);
                        own.flush();
                    }
                },
                [this](link::channel_id, link::close_reason reason) { ended.push_back(reason); }};
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(own.port()); }

    std::vector<std::string> opened;
    std::vector<link::frame> received;
    std::vector<link::close_reason> ended;
    link::channel_id accepted_channel = 0;
    link::host_link own;
};

link::frame request(std::uint64_t number) {
    link::frame message;
    message.mutable_quota_request()->set_number(number);
    return message;
}

/// @brief Runs the context until the condition holds, 5 s at most.
template <typename Condition>
bool run_until(boost::asio::io_context& context, Condition condition) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(20ms);
    }
    return condition();
}

struct odd_input {
    std::string name;
    std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const odd_input& sample) {
    return out << sample.name;
}

std::string framed(const link::frame& message) {
    const std::string body = message.SerializeAsString();
    return std::string{"\0\0\0", 3} + static_cast<char>(body.size()) + body;
}

link::frame hello(unsigned version, const std::string& host) {
    link::frame message;
    message.mutable_hello()->set_version(version);
    message.mutable_hello()->set_host(host);
    return message;
}

const std::vector<odd_input> odd_inputs{
    {"another protocol", "GET / HTTP/1.1\r\n\r\n"},
    {"a frame before the greeting", framed(request(1))},
    {"another version", framed(hello(2, "h"))},
    {"no name", framed(hello(1, ""))},
    {"a long greeting", framed(hello(1, std::string(200, 'h'))).replace(2, 1, "\x10")},
    {"a frame above the limit", framed(hello(1, "h")) + "\x7f\xff\xff\xff"},
    {"no protobuf", framed(hello(1, "h")) + std::string{"\0\0\0\x02\xff\xff", 6}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(host_link)

// Guards against frames that are lost or reordered while the channel is being opened.
BOOST_AUTO_TEST_CASE(frames_arrive_in_order) {
    boost::asio::io_context context;
    recording_link left{context, "left"};
    recording_link right{context, "right"};
    const link::channel_id channel = left.own.dial(right.address());
    for (std::uint64_t number = 1; number <= 50; ++number) {
        left.own.send(channel, request(number));
    }
    left.own.flush();
    BOOST_REQUIRE(run_until(context, [&] { return left.received.size() == 50; }));
    for (std::size_t index = 0; index < 50; ++index) {
        BOOST_TEST(right.received[index].quota_request().number() == index + 1);
        BOOST_TEST(left.received[index].quota_grant().number() == index + 1);
    }
    BOOST_TEST(left.opened == std::vector<std::string>{"right"});
    BOOST_TEST(right.opened == std::vector<std::string>{"left"});
}

// Guards against frames that are parsed wrongly if they arrive in pieces.
BOOST_AUTO_TEST_CASE(large_frames_arrive_whole) {
    boost::asio::io_context context;
    recording_link left{context, "left"};
    recording_link right{context, "right"};
    const link::channel_id channel = left.own.dial(right.address());
    link::frame large;
    large.mutable_loan_commands()->add_commands()->set_argument(std::string(1U << 20U, 'x'));
    left.own.send(channel, large);
    left.own.send(channel, request(7));
    left.own.flush();
    BOOST_REQUIRE(run_until(context, [&] { return right.received.size() == 2; }));
    BOOST_TEST(right.received[0].loan_commands().commands(0).argument().size() == 1U << 20U);
}

// Guards against a peer that ends a host, or keeps a channel, with something else than frames.
BOOST_DATA_TEST_CASE(odd_input_ends_the_channel, boost::unit_test::data::make(odd_inputs)) {
    boost::asio::io_context context;
    recording_link host{context, "host"};
    tcp::socket peer{context};
    peer.connect(tcp::endpoint{boost::asio::ip::address_v4::loopback(), host.own.port()});
    boost::asio::write(peer, boost::asio::buffer(sample.bytes));
    bool closed = false;
    std::vector<char> buffer(4096);
    std::function<void()> read = [&] {
        peer.async_read_some(boost::asio::buffer(buffer),
                             [&](const boost::system::error_code& error, std::size_t) {
                                 closed = static_cast<bool>(error);
                                 if (!error) {
                                     read();
                                 }
                             });
    };
    read();
    BOOST_TEST(run_until(context, [&] { return closed; }));
    BOOST_TEST(host.own.channel_count() == 0U);
    BOOST_TEST(host.received.empty());
}

// Guards against a request that waits for a host that was cut off or suspended.
BOOST_AUTO_TEST_CASE(a_silent_channel_is_closed) {
    boost::asio::io_context context;
    link::link_settings settings;
    settings.ping_after = 50ms;
    settings.silence_limit = 200ms;
    recording_link host{context, "host", settings};
    tcp::acceptor silent{context, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket accepted{context};
    bool greeted = false;
    silent.async_accept(accepted, [&](const boost::system::error_code&) {
        const std::string greeting = framed(hello(1, "silent"));
        boost::asio::write(accepted, boost::asio::buffer(greeting));
        greeted = true;
    });
    const link::channel_id channel =
        host.own.dial("127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
    BOOST_REQUIRE(run_until(context, [&] { return greeted && !host.opened.empty(); }));
    host.own.expect_answers(channel, true);
    BOOST_REQUIRE(run_until(context, [&] { return !host.ended.empty(); }));
    BOOST_TEST((host.ended == std::vector<link::close_reason>{link::close_reason::timed_out}));
}

// Guards against a channel to a slow host that is taken for a lost one.
BOOST_AUTO_TEST_CASE(a_host_that_answers_pings_is_alive) {
    boost::asio::io_context context;
    link::link_settings settings;
    settings.ping_after = 20ms;
    settings.silence_limit = 500ms;
    recording_link left{context, "left", settings};
    recording_link right{context, "right"};
    const link::channel_id channel = left.own.dial(right.address());
    left.own.expect_answers(channel, true);
    run_until(context, [end = std::chrono::steady_clock::now() + 1500ms] {
        return std::chrono::steady_clock::now() >= end;
    });
    BOOST_TEST(left.ended.empty());
}

// Guards against a dialled channel whose end nobody learns of.
BOOST_AUTO_TEST_CASE(an_unreachable_host_ends_the_channel) {
    boost::asio::io_context context;
    recording_link host{context, "host"};
    std::uint16_t unused = 0;
    {
        tcp::acceptor closed{context, {boost::asio::ip::address_v4::loopback(), 0}};
        unused = closed.local_endpoint().port();
    }
    (void)host.own.dial("127.0.0.1:" + std::to_string(unused));
    (void)host.own.dial("no address");
    BOOST_REQUIRE(run_until(context, [&] { return host.ended.size() == 2; }));
    BOOST_TEST(host.own.channel_count() == 0U);
}

// Guards against a host whose memory is used up by one that does not read.
BOOST_AUTO_TEST_CASE(unread_output_ends_the_channel) {
    boost::asio::io_context context;
    link::link_settings settings;
    settings.max_unsent_bytes = 1U << 20U;
    recording_link host{context, "host", settings};
    tcp::acceptor deaf{context, {boost::asio::ip::address_v4::loopback(), 0}};
    const link::channel_id channel =
        host.own.dial("127.0.0.1:" + std::to_string(deaf.local_endpoint().port()));
    link::frame large;
    large.mutable_loan_commands()->add_commands()->set_argument(std::string(100'000, 'x'));
    for (int count = 0; count < 200 && host.own.channel_count() > 0; ++count) {
        host.own.send(channel, large);
        host.own.flush();
    }
    BOOST_REQUIRE(run_until(context, [&] { return !host.ended.empty(); }));
    BOOST_TEST((host.ended.front() == link::close_reason::output_limit));
}

BOOST_AUTO_TEST_SUITE_END()
