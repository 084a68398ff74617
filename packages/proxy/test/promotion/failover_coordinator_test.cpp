#include <lovagemoor/proxy/promotion/failover_coordinator.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{100}};
const core::service_id service{"s"};
const core::target_id old_primary{"p"};
const core::target_id a{"a"};
const core::target_id b{"b"};

failover_input lost(unsigned synchronous_replicas = 0) {
    return {service,
            old_primary,
            promotion_cause::primary_lost,
            {{a, false}, {b, false}},
            synchronous_replicas,
            4};
}

target_status at(core::log_position position, core::term_number term = 4) {
    return {false, {term, position}, 0, 0ms};
}

template <typename Step>
std::optional<Step> only(const std::vector<failover_step>& steps) {
    if (steps.size() != 1 || !std::holds_alternative<Step>(steps.front())) {
        return std::nullopt;
    }
    return std::get<Step>(steps.front());
}

/// @return A coordinator that holds the promotion lock with token 9 and inspects the replicas.
failover_coordinator inspecting(const failover_input& input) {
    failover_coordinator made{failover_settings{}};
    BOOST_REQUIRE(only<request_promotion_lock>(made.advance(start, {input})).has_value());
    made.on_promotion_lock_answered(start, {promotion_lock_result::acquired, 9, 3000ms});
    BOOST_REQUIRE(only<inspect_replicas>(made.advance(start, {input})).has_value());
    return made;
}

struct lock_case {
    const char* name;
    /// Empty if no other host is known to hold the lock.
    std::optional<promotion_lock_taken> taken;
    std::optional<promotion_lock_released> released;
    bool requests_lock;

    friend std::ostream& operator<<(std::ostream& output, const lock_case& value) {
        return output << value.name;
    }
};

const std::vector<lock_case> lock_cases{
    {"free", std::nullopt, std::nullopt, true},
    {"taken by another host", promotion_lock_taken{9}, std::nullopt, false},
    {"released again", promotion_lock_taken{9}, promotion_lock_released{10}, true},
};

struct choice_case {
    const char* name;
    std::vector<std::pair<core::target_id, target_status>> positions;
    std::vector<promotion_candidate> replicas;
    std::string expected;

    friend std::ostream& operator<<(std::ostream& output, const choice_case& value) {
        return output << value.name;
    }
};

const std::vector<choice_case> choices{
    {"the most complete log", {{a, at(7)}, {b, at(8)}}, {{a, false}, {b, false}}, "b"},
    {"a later term before a longer log",
     {{a, at(2, 5)}, {b, at(8)}},
     {{a, false}, {b, false}},
     "a"},
    {"no draining replica", {{a, at(7)}, {b, at(8)}}, {{a, false}, {b, true}}, "a"},
    {"a draining replica if there is no other", {{b, at(8)}}, {{b, true}}, "b"},
};

} // namespace

// Guards against useless lock requests. While one host held the promotion lock, up to 111 others
// per second requested it, each with two calls to the registry (found on halgeld-pool-grown).
BOOST_DATA_TEST_CASE(a_lock_held_by_another_host_is_not_requested,
                     boost::unit_test::data::make(lock_cases), sample) {
    failover_coordinator made{failover_settings{}};
    if (sample.taken.has_value()) {
        made.on_promotion_lock_taken(start, *sample.taken);
    }
    if (sample.released.has_value()) {
        made.on_promotion_lock_released(*sample.released);
    }
    BOOST_TEST(only<request_promotion_lock>(made.advance(start + 2s, {lost()})).has_value() ==
               sample.requests_lock);
    BOOST_TEST(made.promoting(service) == false);
}

// Guards against waiting for the release of a lock if the event was missed.
BOOST_AUTO_TEST_CASE(a_lock_of_another_host_is_assumed_to_expire) {
    failover_coordinator made{failover_settings{}};
    made.on_promotion_lock_taken(start, promotion_lock_taken{9});
    BOOST_TEST(only<request_promotion_lock>(made.advance(start + 3s, {lost()})).has_value());
}

// Guards against losing an own lock to late events of earlier locks.
BOOST_AUTO_TEST_CASE(events_of_earlier_locks_do_not_end_an_own_lock) {
    failover_coordinator made = inspecting(lost());
    made.on_promotion_lock_taken(start, promotion_lock_taken{7});
    made.on_promotion_lock_released(promotion_lock_released{8});
    BOOST_TEST(made.holds_promotion_lock(start + 1s));
    made.on_promotion_lock_released(promotion_lock_released{10});
    BOOST_TEST(!made.holds_promotion_lock(start + 1s));
}

// Guards against losing commits that another replica has.
BOOST_DATA_TEST_CASE(promotes_the_most_complete_replica, boost::unit_test::data::make(choices),
                     sample) {
    failover_input input = lost();
    input.replicas = sample.replicas;
    failover_coordinator made = inspecting(input);
    for (const auto& [target, status] : sample.positions) {
        made.on_status(service, target, status);
    }
    const std::optional<call_promotion> call =
        only<call_promotion>(made.advance(start + 200ms, {input}));
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(call->target.value == sample.expected);
    BOOST_TEST(call->fencing_token == 9U);
}

// Guards against promoting two targets if an answer is lost: the first call may still be executed.
BOOST_AUTO_TEST_CASE(an_unanswered_call_is_repeated_for_the_same_target) {
    failover_coordinator made = inspecting(lost());
    made.on_status(service, a, at(7));
    made.on_status(service, b, at(7));
    const std::optional<call_promotion> first = only<call_promotion>(made.advance(start, {lost()}));
    BOOST_REQUIRE(first.has_value());
    made.on_promotion(start, {service, first->target, promotion_result::unknown});
    BOOST_TEST(made.advance(start + 100ms, {lost()}).empty());
    const std::optional<call_promotion> second =
        only<call_promotion>(made.advance(start + 800ms, {lost()}));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((second->target == first->target));
    BOOST_TEST(second->fencing_token == first->fencing_token);
}

// Guards against a failover that stops at a candidate that is not running.
BOOST_AUTO_TEST_CASE(a_rejected_candidate_is_skipped) {
    failover_coordinator made = inspecting(lost());
    made.on_status(service, a, at(7));
    made.on_status(service, b, at(8));
    BOOST_REQUIRE(only<call_promotion>(made.advance(start, {lost()})).has_value());
    made.on_promotion(start, {service, b, promotion_result::rejected});
    const std::optional<call_promotion> next =
        only<call_promotion>(made.advance(start + 10ms, {lost()}));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((next->target == a));
}

// Guards against further calls with a token that was rejected because a higher one is known.
BOOST_AUTO_TEST_CASE(a_token_rejected_for_all_candidates_is_dropped) {
    failover_coordinator made = inspecting(lost());
    made.on_status(service, a, at(7));
    made.on_status(service, b, at(8));
    for (const core::target_id& candidate : {b, a}) {
        BOOST_REQUIRE(only<call_promotion>(made.advance(start, {lost()})).has_value());
        made.on_promotion(start, {service, candidate, promotion_result::rejected});
    }
    BOOST_TEST(made.advance(start + 10ms, {lost()}).empty());
    BOOST_TEST(only<request_promotion_lock>(made.advance(start + 300ms, {lost()})).has_value());
}

// Guards against losing an acknowledged commit that only a replica without a reply has received.
BOOST_AUTO_TEST_CASE(synchronous_replicas_are_held_and_inspected_before_a_promotion) {
    failover_coordinator made{failover_settings{}};
    BOOST_REQUIRE(only<request_promotion_lock>(made.advance(start, {lost(1)})).has_value());
    made.on_promotion_lock_answered(start, {promotion_lock_result::acquired, 9, 3000ms});
    const std::optional<inspect_replicas> inspection =
        only<inspect_replicas>(made.advance(start, {lost(1)}));
    BOOST_REQUIRE(inspection.has_value());
    BOOST_TEST(inspection->hold_term == 5U);
    made.on_status(service, a, at(7));
    BOOST_TEST(made.advance(start + 500ms, {lost(1)}).empty());
    made.on_status(service, b, at(9));
    const std::optional<call_promotion> call =
        only<call_promotion>(made.advance(start + 510ms, {lost(1)}));
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST((call->target == b));
}

// Guards against calls under an expired lock, for example after a suspension of the machine.
BOOST_AUTO_TEST_CASE(no_call_after_the_lock_has_expired) {
    failover_coordinator made = inspecting(lost());
    made.on_status(service, a, at(7));
    made.on_status(service, b, at(8));
    for (const failover_step& step : made.advance(start + 4s, {lost()})) {
        BOOST_TEST(!std::holds_alternative<call_promotion>(step));
    }
}

// Guards against a second lock holder: another host acquires the lock first.
BOOST_AUTO_TEST_CASE(a_refused_lock_is_requested_again_later) {
    failover_coordinator made{failover_settings{}};
    BOOST_REQUIRE(only<request_promotion_lock>(made.advance(start, {lost()})).has_value());
    made.on_promotion_lock_answered(start, {promotion_lock_result::held_by_other, 0, 0ms});
    BOOST_TEST(made.advance(start + 10ms, {lost()}).empty());
    BOOST_TEST(only<request_promotion_lock>(made.advance(start + 300ms, {lost()})).has_value());
}

// Guards against replacing a primary that recovers during the failover.
BOOST_AUTO_TEST_CASE(a_recovered_primary_is_kept) {
    failover_coordinator made = inspecting(lost());
    failover_input recovered = lost();
    recovered.cause = promotion_cause::none;
    made.on_status(service, a, at(7));
    made.on_status(service, b, at(8));
    BOOST_TEST(made.advance(start + 10ms, {recovered}).empty());
    BOOST_TEST(!made.promoting(service));
}

} // namespace lovagemoor::proxy
