#include <lovagemoor/proxy/overload/wait_queue.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{100}};

waiting_request arrived(core::duration at, unsigned priority = 1) {
    return {priority, start + at, start + at + 1s, start + at + 200ms, 20ms};
}

struct order_case {
    const char* name;
    waiting_request left;
    waiting_request right;
    core::duration now;
    bool expected;

    friend std::ostream& operator<<(std::ostream& output, const order_case& value) {
        return output << value.name;
    }
};

const std::vector<order_case> orders{
    {"earlier arrival first", arrived(0ms), arrived(10ms), 20ms, true},
    {"higher priority before earlier arrival", arrived(10ms, 0), arrived(0ms, 1), 20ms, true},
    {"in time before late", arrived(150ms), arrived(0ms), 190ms, true},
    {"in time before late with a higher priority", arrived(150ms, 2), arrived(0ms, 0), 190ms, true},
    {"both late: earlier arrival first", arrived(0ms), arrived(10ms), 900ms, true},
};

/// @brief Simulates an overload in which two requests arrive for each one that is served.
/// @return Number of requests answered by their preferred deadline, and number answered at all.
std::pair<int, int> simulate_overload(bool by_decision) {
    std::vector<waiting_request> queue;
    int in_time = 0;
    int served = 0;
    for (core::duration at = 0ms; at < 4s; at += 20ms) {
        const core::time_point now = start + at;
        queue.push_back(arrived(at));
        queue.push_back(arrived(at));
        if (by_decision) {
            std::stable_sort(queue.begin(), queue.end(),
                             [&](const waiting_request& left, const waiting_request& right) {
                                 return served_before(left, right, now);
                             });
        }
        std::erase_if(queue, [&](const waiting_request& request) {
            return !can_be_served(request, 0, 20ms, now);
        });
        const waiting_request next = queue.front();
        queue.erase(queue.begin());
        ++served;
        in_time += now + next.service_time <= next.preferred_deadline ? 1 : 0;
    }
    return {in_time, served};
}

} // namespace

BOOST_DATA_TEST_CASE(order_follows_urgency_and_time, boost::unit_test::data::make(orders), sample) {
    BOOST_TEST(served_before(sample.left, sample.right, start + sample.now) == sample.expected);
    BOOST_TEST(!served_before(sample.right, sample.left, start + sample.now));
}

// Guards against answering every request late in an overload, which happens to nearly all of them
// if they are served in order of arrival.
BOOST_AUTO_TEST_CASE(requests_in_an_overload_are_answered_within_their_objective) {
    const auto [in_time_by_arrival, by_arrival] = simulate_overload(false);
    const auto [in_time, served] = simulate_overload(true);
    BOOST_TEST(served == by_arrival);
    BOOST_TEST(in_time_by_arrival < served / 4);
    BOOST_TEST(in_time > served * 9 / 10);
}

// Guards against keeping requests until their deadline if the queue cannot serve them before it.
BOOST_AUTO_TEST_CASE(requests_that_cannot_be_served_before_their_deadline_are_refused) {
    const waiting_request request = arrived(0ms);
    BOOST_TEST(can_be_served(request, 48, 20ms, start));
    BOOST_TEST(!can_be_served(request, 50, 20ms, start));
    BOOST_TEST(can_be_served(request, 1000, 0ms, start));
}

} // namespace lovagemoor::proxy
