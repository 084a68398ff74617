#include <lovagemoor/proxy/routing/primary_checks.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{100}};

struct bound_case {
    const char* name;
    /// Checks in the order of their answers: time sent and position.
    std::vector<std::pair<core::duration, core::log_position>> checks;
    core::duration acknowledged_before;
    std::optional<core::log_position> expected;

    friend std::ostream& operator<<(std::ostream& output, const bound_case& value) {
        return output << value.name;
    }
};

const std::vector<bound_case> cases{
    {"no check", {}, 0ms, std::nullopt},
    {"only older checks", {{0ms, 1}}, 1ms, std::nullopt},
    {"check at the given time", {{10ms, 1}}, 10ms, 1},
    {"earliest sufficient check", {{0ms, 1}, {100ms, 2}, {200ms, 3}}, 50ms, 2},
    {"answered out of order", {{100ms, 2}, {0ms, 1}, {200ms, 3}}, 50ms, 2},
    {"of close checks, the last is kept", {{0ms, 1}, {100ms, 2}, {105ms, 3}, {110ms, 4}}, 104ms, 4},
    {"old checks are dropped", {{0ms, 1}, {11s, 2}}, 0ms, 2},
};

} // namespace

// Guards against reads from a log that lacks commits which the read must see.
BOOST_DATA_TEST_CASE(bound_contains_all_commits_before_a_time, boost::unit_test::data::make(cases),
                     sample) {
    primary_checks checks;
    for (const auto& [sent, position] : sample.checks) {
        checks.record(start + sent, {1, position});
    }
    const std::optional<replication_position> bound =
        checks.bound(start + sample.acknowledged_before);
    BOOST_TEST(bound.has_value() == sample.expected.has_value());
    if (bound.has_value() && sample.expected.has_value()) {
        BOOST_TEST(bound->index == *sample.expected);
    }
}

} // namespace lovagemoor::proxy
