#include <lovagemoor/proxy/overload/memory_budget.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <random>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

/// Input waits above 12 MB, callers are closed at once above 14 MB, and down to 10 MB.
constexpr memory_limits limits{.total_bytes = 16 * megabyte};

struct eviction_case {
    const char* name;
    std::size_t used;
    std::vector<memory_consumer> consumers;
    std::vector<session_id> expected;

    friend std::ostream& operator<<(std::ostream& output, const eviction_case& value) {
        return output << value.name;
    }
};

const std::vector<eviction_case> evictions{
    {"below the limit", 13 * megabyte, {{1, 13 * megabyte, false, false, 9s}}, {}},
    {"the largest first",
     15 * megabyte,
     {{1, 4 * megabyte}, {2, 6 * megabyte}, {3, 5 * megabyte}},
     {2}},
    {"as many as necessary",
     15 * megabyte,
     {{1, 3 * megabyte}, {2, 4 * megabyte}, {3, 4 * megabyte}, {4, 4 * megabyte}},
     {2, 3}},
    {"idle and incomplete ones before larger ones that work",
     15 * megabyte,
     {{1, 9 * megabyte, true}, {2, 1 * megabyte}, {3, 5 * megabyte}},
     {3}},
    {"those that work, if the others do not suffice",
     15 * megabyte,
     {{1, 9 * megabyte, true}, {2, 1 * megabyte}, {3, 5 * megabyte, true}},
     {2, 1}},
    {"not a transaction that makes progress",
     15 * megabyte,
     {{1, 9 * megabyte, false, true, 900ms}, {2, 5 * megabyte}, {3, 1 * megabyte}},
     {2}},
    {"not a transaction whose statement runs",
     15 * megabyte,
     {{1, 9 * megabyte, true, true, 9s}, {2, 5 * megabyte}, {3, 1 * megabyte}},
     {2}},
    {"a transaction that has stopped",
     15 * megabyte,
     {{1, 9 * megabyte, false, true, 1s}, {2, 5 * megabyte}, {3, 1 * megabyte}},
     {1}},
    {"only transactions that make progress",
     15 * megabyte,
     {{1, 9 * megabyte, true, true, 0ms}, {2, 6 * megabyte, false, true, 0ms}},
     {}},
    {"no caller that holds almost nothing",
     15 * megabyte,
     {{1, 1 * kilobyte}, {2, 2 * kilobyte}},
     {}},
};

struct read_case {
    const char* name;
    std::size_t used;
    std::size_t held;
    bool in_transaction;
    bool expected;

    friend std::ostream& operator<<(std::ostream& output, const read_case& value) {
        return output << value.name;
    }
};

const std::vector<read_case> reads{
    {"much memory left", 11 * megabyte, 5 * megabyte, false, true},
    {"a large caller above the threshold", 12 * megabyte, 1 * megabyte, false, false},
    {"a small caller above the threshold", 12 * megabyte, 1 * kilobyte, false, true},
    {"a transaction above the threshold", 12 * megabyte, 1 * megabyte, true, true},
    {"a transaction near the limit", 14 * megabyte, 1 * megabyte, true, false},
    {"a small caller near the limit", 15 * megabyte, 1 * kilobyte, false, true},
    {"a small caller at the limit", 16 * megabyte, 1 * kilobyte, false, false},
};

constexpr std::size_t piece = 32 * kilobyte;

} // namespace

// Guards against closing callers that could be kept: those that work, and transactions.
BOOST_DATA_TEST_CASE(callers_are_closed_in_order, boost::unit_test::data::make(evictions), sample) {
    memory_budget budget{limits};
    budget.measure(core::time_point{}, sample.used);
    BOOST_TEST(budget.choose_evicted(core::time_point{}, sample.consumers) == sample.expected,
               boost::test_tools::per_element());
}

// Guards against memory that is taken before it is known to be there, and against ordinary callers
// that wait behind large ones.
BOOST_DATA_TEST_CASE(input_waits_above_the_threshold, boost::unit_test::data::make(reads), sample) {
    memory_budget budget{limits};
    budget.measure(core::time_point{}, sample.used);
    BOOST_TEST(budget.may_read(sample.held, piece, sample.in_transaction) == sample.expected);
}

// Guards against a limit that closes callers although it is not set.
BOOST_AUTO_TEST_CASE(no_limit_closes_nobody) {
    memory_budget budget{{}};
    budget.measure(core::time_point{}, 1024 * megabyte);
    BOOST_TEST(budget.may_read(megabyte, piece, false));
    BOOST_TEST(!budget.measurement_due());
    BOOST_TEST(budget.choose_evicted(core::time_point{}, {{1, 1024 * megabyte}}).empty());
}

// Guards against callers that wait for ever with a part of a message each, while none is served:
// after the relief time, some are closed. Memory that is being freed is given more time.
BOOST_AUTO_TEST_CASE(waiting_callers_are_closed_unless_memory_is_freed) {
    const std::vector<memory_consumer> consumers{{1, 13 * megabyte}};
    const core::time_point start{};
    memory_budget budget{limits};
    budget.measure(start, 13 * megabyte);
    budget.measure(start + 200ms, 13 * megabyte);
    BOOST_TEST(budget.choose_evicted(start + 200ms, consumers).empty());
    budget.measure(start + 240ms, 13 * megabyte - 512 * kilobyte);
    BOOST_TEST(budget.choose_evicted(start + 260ms, consumers).empty());
    budget.measure(start + 500ms, 13 * megabyte - 512 * kilobyte);
    BOOST_TEST(budget.choose_evicted(start + 500ms, consumers).size() == 1U);
}

// Guards against a limit that a sequence of reads exceeds: random callers read whatever the budget
// allows, and it is measured whenever that is due.
BOOST_DATA_TEST_CASE(reads_never_exceed_the_limit, boost::unit_test::data::xrange(1U, 21U), seed) {
    std::mt19937 random{seed};
    memory_budget budget{limits};
    std::vector<memory_consumer> callers;
    for (session_id id = 0; id < 300; ++id) {
        callers.push_back({id, 0, random() % 4 == 0, random() % 8 == 0, 0ms});
    }
    core::time_point now{};
    std::size_t used = 0;
    std::size_t largest = 0;
    for (int step = 0; step < 20'000; ++step) {
        now += 100us;
        memory_consumer& reader = callers[random() % callers.size()];
        if (budget.may_read(reader.bytes, piece, reader.in_transaction)) {
            reader.bytes += piece;
            used += piece;
            budget.add(piece);
        }
        largest = std::max(largest, used);
        if (budget.measurement_due() || step % 100 == 0) {
            budget.measure(now, used);
            for (const session_id id : budget.choose_evicted(now, callers)) {
                used -= callers[id].bytes;
                callers[id].bytes = 0;
            }
        }
    }
    BOOST_TEST(largest <= limits.total_bytes);
    BOOST_TEST(largest > limits.total_bytes / 2);
}

} // namespace lovagemoor::proxy
