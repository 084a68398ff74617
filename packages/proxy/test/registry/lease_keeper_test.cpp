#include <lovagemoor/proxy/registry/lease_keeper.hpp>

#include <boost/test/unit_test.hpp>

#include <variant>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{100}};

/// @return A keeper whose item is written under lease 5.
lease_keeper kept() {
    lease_keeper keeper{"k", "v", 9s};
    BOOST_REQUIRE(std::holds_alternative<grant_lease>(*keeper.next_call(start)));
    keeper.on_lease(start, {registry_status::done, 5, 9s});
    BOOST_REQUIRE(std::holds_alternative<write_items>(*keeper.next_call(start)));
    keeper.on_written(start, {registry_status::done, 1});
    return keeper;
}

} // namespace

// Guards against a registration that expires while its host is running.
BOOST_AUTO_TEST_CASE(lease_is_renewed_three_times_in_its_duration) {
    lease_keeper keeper = kept();
    BOOST_TEST(!keeper.next_call(start + 2s).has_value());
    BOOST_TEST(std::holds_alternative<renew_lease>(*keeper.next_call(start + 3s)));
}

// Guards against a host that stays unregistered after its lease has ended.
BOOST_AUTO_TEST_CASE(an_ended_lease_is_replaced) {
    lease_keeper keeper = kept();
    BOOST_REQUIRE(keeper.next_call(start + 3s).has_value());
    keeper.on_lease(start + 3s, {registry_status::lease_ended, 0, 0ms});
    BOOST_TEST(std::holds_alternative<grant_lease>(*keeper.next_call(start + 3s)));
}

// Guards against a host that stays unregistered after its item was removed while the lease was
// still valid.
BOOST_AUTO_TEST_CASE(a_removed_item_is_written_again) {
    lease_keeper keeper = kept();
    keeper.on_lost(start + 1s);
    const auto call = keeper.next_call(start + 1s);
    BOOST_REQUIRE(std::holds_alternative<write_items>(*call));
    BOOST_TEST(std::get<write_items>(*call).writes.front().lease == 5U);
}

// Guards against a flood of calls to a registry that is down.
BOOST_AUTO_TEST_CASE(failed_calls_are_retried_after_a_delay) {
    lease_keeper keeper = kept();
    BOOST_REQUIRE(keeper.next_call(start + 3s).has_value());
    keeper.on_lease(start + 3s, {registry_status::unknown, 0, 0ms});
    BOOST_TEST(!keeper.next_call(start + 3s).has_value());
    BOOST_TEST(keeper.next_call(start + 4s).has_value());
}

// Guards against renewing a lease of an earlier era, whose id may belong to another host by now,
// and against waiting for the result of a call that the return of the registry cut off.
BOOST_AUTO_TEST_CASE(a_lease_is_granted_anew_after_the_registry_was_restored) {
    lease_keeper keeper = kept();
    BOOST_REQUIRE(std::holds_alternative<renew_lease>(*keeper.next_call(start + 3s)));
    keeper.on_restored(start + 3s, 200ms);
    BOOST_TEST(keeper.lease() == 0U);
    BOOST_TEST(!keeper.next_call(start + 3100ms).has_value());
    BOOST_TEST(std::holds_alternative<grant_lease>(*keeper.next_call(start + 3200ms)));
    keeper.on_lease(start + 3200ms, {registry_status::done, 8, 9s});
    const auto written = keeper.next_call(start + 3200ms);
    BOOST_REQUIRE(std::holds_alternative<write_items>(*written));
    BOOST_TEST(std::get<write_items>(*written).writes.front().lease == 8U);
}

} // namespace lovagemoor::proxy
