#include <lovagemoor/host/peer_task.hpp>

#include <lovagemoor/telemetry/mailbox.hpp>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace {

namespace core = lovagemoor::core;
namespace host = lovagemoor::host;
using lovagemoor::telemetry::mailbox;
using namespace std::chrono_literals;

/// Maximum time that a test waits for an event before it fails.
constexpr std::chrono::seconds max_wait{60};

/// @brief Settings with timeouts so long that a busy machine does not cause messages to be dropped.
host::peer_settings long_timeout_settings() {
    host::peer_settings settings;
    settings.max_pending_age = max_wait;
    settings.linger = max_wait;
    return settings;
}

/// @brief A peer_task with a mailbox that collects the messages it receives.
class test_host {
public:
    explicit test_host(const std::string& name,
                       host::peer_settings settings = long_timeout_settings())
        : id_{name}, task_{with_name(name, std::move(settings)), [this](core::event event) {
                               (void)received_.push(
                                   std::get<core::peer_received>(std::move(event)));
                           }} {}

    [[nodiscard]] const core::host_id& id() const { return id_; }

    [[nodiscard]] host::peer_task& task() { return task_; }

    void send(const core::host_id& to, const std::string& address, core::peer_message message) {
        task_.perform(core::send_to_peer{to, address, std::move(message)});
    }

    void send(const test_host& to, core::peer_message message) {
        send(to.id(), to.task_.endpoint(), std::move(message));
    }

    [[nodiscard]] core::peer_received receive() {
        std::optional<core::peer_received> message =
            received_.wait_until(std::chrono::steady_clock::now() + max_wait);
        BOOST_REQUIRE(message.has_value());
        return *std::move(message);
    }

    /// @brief Waits for the next message, which must be a forward_cancel.
    /// @return The request identifier in it.
    [[nodiscard]] core::request_id receive_cancel() {
        return std::get<core::forward_cancel>(receive().message).id;
    }

    [[nodiscard]] std::size_t unread_count() const { return received_.size(); }

    /// @brief Waits until the counters satisfy a condition.
    void wait_for_counters(const std::function<bool(const host::peer_counters&)>& condition) const {
        const std::chrono::steady_clock::time_point end =
            std::chrono::steady_clock::now() + max_wait;
        while (!condition(task_.counters())) {
            BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
            std::this_thread::sleep_for(1ms);
        }
    }

private:
    static host::peer_settings with_name(const std::string& name, host::peer_settings settings) {
        settings.self.value = name;
        return settings;
    }

    core::host_id id_;
    mailbox<core::peer_received> received_;
    host::peer_task task_;
};

core::peer_message cancel(core::request_id id) {
    return core::forward_cancel{id};
}

core::peer_message report() {
    return core::primary_report{{"g1"}, {"t1"}, 1, true, {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_task)

// Guards against messages that arrive with a wrong sender, with changed content or out of order.
BOOST_AUTO_TEST_CASE(messages_arrive_in_order_with_their_sender) {
    constexpr core::request_id messages = 200;
    test_host first{"h1"};
    test_host second{"h2"};
    for (core::request_id id = 0; id < messages; ++id) {
        first.send(second, cancel(id));
    }
    for (core::request_id id = 0; id < messages; ++id) {
        const core::peer_received received = second.receive();
        BOOST_TEST(received.from.value == "h1");
        BOOST_REQUIRE_EQUAL(std::get<core::forward_cancel>(received.message).id, id);
    }
    second.send(first, cancel(7));
    BOOST_TEST(first.receive_cancel() == 7U);
}

// Guards against outgoing connections that ignore the configured source address.
BOOST_AUTO_TEST_CASE(connections_are_made_from_the_source_address) {
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    host::peer_settings settings = long_timeout_settings();
    settings.source_address = "127.0.0.9";
    test_host sender{"h1", settings};
    sender.send(core::host_id{"h2"},
                "tcp://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), cancel(1));
    const asio::ip::tcp::socket accepted = acceptor.accept();
    BOOST_TEST(accepted.remote_endpoint().address().to_string() == "127.0.0.9");
}

// Guards against an endpoint that still names port 0 after the operating system assigned a port.
BOOST_AUTO_TEST_CASE(endpoint_has_the_port_in_use) {
    test_host single{"h1"};
    BOOST_TEST(single.task().endpoint().starts_with("tcp://127.0.0.1:"));
    BOOST_TEST(!single.task().endpoint().ends_with(":0"));
}

// Guards against a host that starts although it cannot listen on its endpoint.
BOOST_AUTO_TEST_CASE(an_endpoint_in_use_is_an_error) {
    test_host first{"h1"};
    host::peer_settings settings;
    settings.bind_endpoint = first.task().endpoint();
    BOOST_CHECK_THROW((test_host{"h2", settings}), host::peer_bind_error);
    settings.bind_endpoint = "nowhere";
    BOOST_CHECK_THROW((test_host{"h2", settings}), host::peer_bind_error);
}

// Guards against lost messages to the host itself, which it sends when it owns the target of its
// own request.
BOOST_AUTO_TEST_CASE(messages_to_itself_need_no_connection) {
    test_host single{"h1"};
    single.send(single.id(), "", cancel(3));
    const core::peer_received received = single.receive();
    BOOST_TEST(received.from.value == "h1");
    BOOST_TEST(single.task().counters().sent_data.messages == 0U);
}

// Guards against control traffic that is counted as data, and against byte counts that differ
// between sender and receiver.
BOOST_AUTO_TEST_CASE(traffic_is_counted_by_kind_and_direction) {
    test_host first{"h1"};
    test_host second{"h2"};
    first.send(second, cancel(1));
    first.send(second, cancel(2));
    first.send(second, report());
    for (int count = 0; count < 3; ++count) {
        (void)second.receive();
    }
    first.wait_for_counters(
        [](const host::peer_counters& now) { return now.sent_control.messages == 1; });
    const host::peer_counters sent = first.task().counters();
    const host::peer_counters received = second.task().counters();
    BOOST_TEST(sent.sent_data.messages == 2U);
    BOOST_TEST(received.received_data.messages == 2U);
    BOOST_TEST(received.received_control.messages == 1U);
    BOOST_TEST(sent.sent_data.bytes > 0U);
    BOOST_TEST(sent.sent_data.bytes == received.received_data.bytes);
    BOOST_TEST(sent.sent_control.bytes == received.received_control.bytes);
    BOOST_TEST(sent.received_data.messages == 0U);
}

// Guards against a simulated network partition that lets messages through in one direction or that
// cannot be ended.
BOOST_AUTO_TEST_CASE(blocked_hosts_are_cut_off_in_both_directions) {
    test_host first{"h1"};
    test_host second{"h2"};
    test_host third{"h3"};
    first.task().set_blocked({second.id()});
    first.send(second, cancel(1));
    second.send(first, cancel(2));
    first.wait_for_counters([](const host::peer_counters& now) { return now.blocked == 2; });
    third.send(first, cancel(3));
    BOOST_TEST(first.receive_cancel() == 3U);
    first.task().set_blocked({});
    first.send(second, cancel(4));
    second.send(first, cancel(5));
    BOOST_TEST(second.receive_cancel() == 4U);
    BOOST_TEST(first.receive_cancel() == 5U);
}

// Guards against messages that are still sent to the former address after a host was replaced.
BOOST_AUTO_TEST_CASE(a_changed_address_replaces_the_link) {
    test_host first{"h1"};
    std::optional<test_host> old_process{std::in_place, "h2"};
    first.send(*old_process, cancel(1));
    BOOST_TEST(old_process->receive_cancel() == 1U);
    test_host new_process{"h2"};
    first.send(new_process, cancel(2));
    BOOST_TEST(new_process.receive_cancel() == 2U);
    BOOST_TEST(old_process->unread_count() == 0U);
    BOOST_TEST(first.task().counters().open_links == 1U);
}

// Guards against a host that processes messages meant for the host that used its address before.
BOOST_AUTO_TEST_CASE(messages_for_another_host_are_rejected) {
    test_host first{"h1"};
    test_host second{"h2"};
    first.send(core::host_id{"h9"}, second.task().endpoint(), cancel(1));
    second.wait_for_counters([](const host::peer_counters& now) { return now.misdirected == 1; });
    BOOST_TEST(second.unread_count() == 0U);
}

// Guards against a request that runs after its deadline because it was queued while its host was
// unreachable.
BOOST_AUTO_TEST_CASE(messages_to_an_unreachable_host_are_dropped) {
    host::peer_settings short_age_settings;
    short_age_settings.max_pending_age = 20ms;
    test_host first{"h1", short_age_settings};
    std::string address;
    {
        test_host stopped_host{"h2"};
        address = stopped_host.task().endpoint();
    }
    first.send(core::host_id{"h2"}, address, cancel(1));
    first.wait_for_counters([](const host::peer_counters& now) { return now.dropped == 1; });
    host::peer_settings settings = long_timeout_settings();
    settings.bind_endpoint = address;
    test_host second{"h2", settings};
    // The link may still be reconnecting, so more than one message may be dropped.
    core::request_id id = 2;
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + max_wait;
    while (second.unread_count() == 0 && std::chrono::steady_clock::now() < end) {
        first.send(core::host_id{"h2"}, address, cancel(id++));
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(second.receive_cancel() >= 2U);
}

// Guards against unbounded memory use by messages to an unreachable host.
BOOST_AUTO_TEST_CASE(pending_messages_are_bounded) {
    host::peer_settings settings = long_timeout_settings();
    settings.max_pending_messages = 5;
    settings.linger = 0ms;
    test_host first{"h1", settings};
    std::string address;
    {
        test_host stopped_host{"h2"};
        address = stopped_host.task().endpoint();
    }
    for (core::request_id id = 0; id < 8; ++id) {
        first.send(core::host_id{"h2"}, address, cancel(id));
    }
    first.wait_for_counters([](const host::peer_counters& now) { return now.dropped == 3; });
}

// Guards against an invalid address that ends the task.
BOOST_AUTO_TEST_CASE(an_invalid_address_is_counted) {
    test_host first{"h1"};
    test_host second{"h2"};
    first.send(core::host_id{"h3"}, "", cancel(1));
    first.send(core::host_id{"h3"}, "nonsense", cancel(2));
    first.send(second, cancel(3));
    BOOST_TEST(second.receive_cancel() == 3U);
    BOOST_TEST(first.task().counters().invalid_addresses == 2U);
}

// Guards against sockets that stay open to every host ever contacted, and against messages that are
// lost when a socket is opened again.
BOOST_AUTO_TEST_CASE(idle_links_are_closed_and_reopened) {
    host::peer_settings settings = long_timeout_settings();
    settings.idle_timeout = 20ms;
    test_host first{"h1", settings};
    test_host second{"h2"};
    for (core::request_id id = 0; id < 3; ++id) {
        first.send(second, cancel(id));
        BOOST_TEST(second.receive_cancel() == id);
        first.wait_for_counters([](const host::peer_counters& now) { return now.open_links == 0; });
    }
}

// Guards against a planned stop that loses the last messages or does not end.
BOOST_AUTO_TEST_CASE(queued_messages_are_sent_before_the_task_ends) {
    test_host second{"h2"};
    {
        test_host first{"h1"};
        first.send(second, cancel(1));
        BOOST_TEST(second.receive_cancel() == 1U);
        for (core::request_id id = 2; id < 50; ++id) {
            first.send(second, cancel(id));
        }
    }
    for (core::request_id id = 2; id < 50; ++id) {
        BOOST_REQUIRE_EQUAL(second.receive_cancel(), id);
    }
}

// Guards against a data race between threads that call perform() and the task's thread.
BOOST_AUTO_TEST_CASE(several_threads_can_send) {
    constexpr int threads = 4;
    constexpr core::request_id messages = 100;
    test_host first{"h1"};
    test_host second{"h2"};
    {
        std::vector<std::jthread> senders;
        senders.reserve(threads);
        for (int count = 0; count < threads; ++count) {
            senders.emplace_back([&first, &second] {
                for (core::request_id id = 0; id < messages; ++id) {
                    first.send(second, cancel(id));
                }
            });
        }
    }
    for (core::request_id count = 0; count < threads * messages; ++count) {
        (void)second.receive();
    }
    BOOST_TEST(second.unread_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
