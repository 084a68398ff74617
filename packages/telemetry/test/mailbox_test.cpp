#include <lovagemoor/telemetry/mailbox.hpp>
#include <lovagemoor/telemetry/polled_mailbox.hpp>

#include <boost/test/unit_test.hpp>

#include <poll.h>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace {

using lovagemoor::telemetry::mailbox;
using lovagemoor::telemetry::polled_mailbox;
using steady_clock = std::chrono::steady_clock;

/// @return A deadline for waits that would otherwise hang the test.
steady_clock::time_point far_deadline() {
    return steady_clock::now() + std::chrono::seconds{60};
}

bool readable(int descriptor) {
    pollfd entry{descriptor, POLLIN, 0};
    return ::poll(&entry, 1, 0) == 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(mailboxes)

// Guards against lost, repeated or reordered messages of one producer.
BOOST_AUTO_TEST_CASE(many_producers_keep_their_order) {
    constexpr int producers = 4;
    constexpr int messages = 2'000;
    mailbox<std::pair<int, int>> box;
    std::vector<std::jthread> threads;
    threads.reserve(producers);
    for (int producer = 0; producer < producers; ++producer) {
        threads.emplace_back([&box, producer] {
            for (int number = 0; number < messages; ++number) {
                (void)box.push({producer, number});
            }
        });
    }
    std::vector<int> next(producers, 0);
    for (int count = 0; count < producers * messages; ++count) {
        const std::optional<std::pair<int, int>> message = box.wait_until(far_deadline());
        BOOST_REQUIRE(message.has_value());
        const auto [producer, number] = *message;
        BOOST_REQUIRE_EQUAL(number, next.at(static_cast<std::size_t>(producer))++);
    }
    BOOST_TEST(box.size() == 0U);
}

// Guards against a consumer that keeps waiting after close(), and against losing accepted messages.
BOOST_AUTO_TEST_CASE(close_ends_the_wait_and_keeps_messages) {
    mailbox<int> box;
    BOOST_TEST(box.push(1));
    box.close();
    BOOST_TEST(!box.push(2));
    BOOST_TEST((box.wait_until(far_deadline()) == std::optional<int>{1}));
    BOOST_TEST(!box.wait_until(steady_clock::time_point::max()).has_value());
    BOOST_TEST(box.closed());
}

// Guards against a wait that continues after its deadline.
BOOST_AUTO_TEST_CASE(wait_returns_nothing_after_the_deadline) {
    mailbox<int> box;
    BOOST_TEST(!box.wait_until(steady_clock::now()).has_value());
}

// Guards against unbounded memory when the consumer is slow.
BOOST_AUTO_TEST_CASE(a_full_mailbox_rejects_messages) {
    mailbox<int> box{2};
    BOOST_TEST(box.push(1));
    BOOST_TEST(box.push(2));
    BOOST_TEST(!box.push(3));
    BOOST_TEST((box.pop_all() == std::deque<int>{1, 2}));
    BOOST_TEST(box.push(4));
}

// Guards against requiring that messages are copyable.
BOOST_AUTO_TEST_CASE(messages_need_not_be_copyable) {
    mailbox<std::unique_ptr<int>> box;
    BOOST_TEST(box.push(std::make_unique<int>(7)));
    BOOST_TEST(**box.wait_until(far_deadline()) == 7);
}

// Guards against a poll loop that sleeps while a message waits, or spins while none does.
BOOST_AUTO_TEST_CASE(descriptor_is_readable_while_messages_wait) {
    polled_mailbox<int> box;
    BOOST_TEST(!readable(box.descriptor()));
    BOOST_TEST(box.push(1));
    BOOST_TEST(box.push(2));
    BOOST_TEST(readable(box.descriptor()));
    BOOST_TEST((box.pop_all() == std::deque<int>{1, 2}));
    BOOST_TEST(!readable(box.descriptor()));
    box.close();
    BOOST_TEST(readable(box.descriptor()));
    BOOST_TEST(!box.push(3));
}

BOOST_AUTO_TEST_SUITE_END()
