#include <lovagemoor/proxy/quota/quota_claims.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{1000}};
const core::host_id self{"self"};
constexpr lease_id lease = 5;

registry_item item_of(quota_slot slot, const char* owner, lease_id held_by,
                      registry_revision revision = 10) {
    return {key_of(slot), owner, revision, held_by};
}

/// @return Claims of a host that is alone, has a lease and knows all slots to be free.
quota_claims ready_claims() {
    quota_claims claims{self, 9000ms};
    claims.on_lease(lease);
    claims.on_hosts({self});
    claims.on_listed(start, {});
    return claims;
}

struct claim_case {
    const char* name;
    std::function<void(quota_claims&)> happens;
    core::time_point at;
    std::size_t claimed;

    friend std::ostream& operator<<(std::ostream& output, const claim_case& value) {
        return output << value.name;
    }
};

const claim_case claim_cases[] = {
    {"free slots are claimed", [](quota_claims&) {}, start, 12},
    {"no lease", [](quota_claims& claims) { claims.on_lease(0); }, start, 0},
    {"the hosts are not known", [](quota_claims& claims) { claims.on_hosts({}); }, start, 0},
    {"this host is not listed yet: the listed one claims first",
     [](quota_claims& claims) { claims.on_hosts({core::host_id{"other"}}); }, start + 199ms, 0},
    {"the listed host does not claim",
     [](quota_claims& claims) { claims.on_hosts({core::host_id{"other"}}); }, start + 200ms, 12},
    {"a slot of another host",
     [](quota_claims& claims) { claims.on_listed(start, {item_of(3, "other", 7)}); }, start, 11},
    {"a slot that this host owns",
     [](quota_claims& claims) { claims.on_listed(start, {item_of(3, "self", lease)}); }, start, 11},
    {"a slot of a former process of this host",
     [](quota_claims& claims) { claims.on_listed(start, {item_of(3, "self", 4)}); }, start, 12},
    {"claims are not repeated while they are pending",
     [](quota_claims& claims) { static_cast<void>(claims.next_claims(start)); }, start + 10s, 0},
    {"the host stops", [](quota_claims& claims) { claims.stop(); }, start, 0},
    {"the registry came back: items are not known",
     [](quota_claims& claims) {
         claims.on_era(start, 1);
         claims.on_era(start, 2);
         claims.on_lease(lease);
     },
     start + 10s, 0},
    {"the registry came back: former owners may still grant",
     [](quota_claims& claims) {
         claims.on_era(start, 1);
         claims.on_era(start, 2);
         claims.on_lease(lease);
         claims.on_listed(start, {});
     },
     start + 8999ms, 0},
    {"the registry came back: former leases have ended",
     [](quota_claims& claims) {
         claims.on_era(start, 1);
         claims.on_era(start, 2);
         claims.on_lease(lease);
         claims.on_listed(start, {});
     },
     start + 9s, 12},
    {"a process that starts after the registry came back",
     [](quota_claims& claims) { claims.on_era(start, 3); }, start + 8999ms, 0},
    {"a registry that has never come back", [](quota_claims& claims) { claims.on_era(start, 0); },
     start, 12},
};

} // namespace

// Guards against two owners of a slot, and against slots that nobody claims.
BOOST_DATA_TEST_CASE(slots_are_claimed_when_free, boost::unit_test::data::make(claim_cases),
                     tested) {
    quota_claims claims = ready_claims();
    tested.happens(claims);
    BOOST_TEST(claims.next_claims(tested.at).size() == tested.claimed);
}

// Guards against a claim that replaces the item of another host.
BOOST_AUTO_TEST_CASE(claims_expect_the_item_that_was_seen) {
    quota_claims claims = ready_claims();
    claims.on_listed(start, {item_of(3, "self", 4, 77)});
    for (const quota_claims::claim& claim : claims.next_claims(start)) {
        BOOST_REQUIRE(claim.call.expected.size() == 1U);
        BOOST_TEST(claim.call.expected.front().revision == (claim.slot == 3 ? 77U : 0U));
        BOOST_TEST(claim.call.writes.front().lease == lease);
        BOOST_TEST(claim.call.writes.front().value == "self");
    }
}

// Guards against hosts that all claim a slot at the same time.
BOOST_AUTO_TEST_CASE(hosts_claim_in_order_of_rank) {
    const std::vector<core::host_id> hosts{{"a"}, {"b"}, {"self"}};
    quota_claims claims = ready_claims();
    claims.on_hosts(hosts);
    std::size_t claimed = 0;
    for (int rank = 0; rank < 3; ++rank) {
        const core::time_point at = start + rank * quota_claim_rank_delay;
        for (const quota_claims::claim& claim : claims.next_claims(at)) {
            BOOST_TEST(claim_rank(claim.slot, self, hosts) == static_cast<std::size_t>(rank));
            ++claimed;
        }
    }
    BOOST_TEST(claimed == quota_slot_count);
}

namespace {

struct outcome_case {
    const char* name;
    /// The item that the follower shows afterwards, if any.
    std::optional<registry_item> shown;
    registry_status status;
    bool owned;

    friend std::ostream& operator<<(std::ostream& output, const outcome_case& value) {
        return output << value.name;
    }
};

const outcome_case outcome_cases[] = {
    {"done", std::nullopt, registry_status::done, true},
    {"another host was first", item_of(0, "other", 7), registry_status::conflict, false},
    {"no answer, executed", item_of(0, "self", lease), registry_status::unknown, true},
    {"no answer, not executed", std::nullopt, registry_status::unknown, false},
    {"the lease has ended", std::nullopt, registry_status::lease_ended, false},
};

} // namespace

// Guards against a host that takes itself for the owner, or its claim for lost, by mistake.
BOOST_DATA_TEST_CASE(the_outcome_of_a_claim_decides, boost::unit_test::data::make(outcome_cases),
                     tested) {
    quota_claims claims = ready_claims();
    const quota_claims::claim sent = claims.next_claims(start).front();
    BOOST_REQUIRE(sent.slot == 0U);
    claims.on_written(start, sent, {tested.status, 10, {}});
    if (tested.shown.has_value()) {
        claims.on_changed(start, {*tested.shown, false});
    }
    BOOST_TEST(claims.owns(0) == tested.owned);
    const auto repeated = claims.next_claims(start + quota_claims::retry_pause);
    const bool is_repeated = !repeated.empty() && repeated.front().slot == 0;
    BOOST_TEST(is_repeated == (!tested.owned && !tested.shown.has_value()));
}

namespace {

struct loss_case {
    const char* name;
    std::function<void(quota_claims&)> happens;

    friend std::ostream& operator<<(std::ostream& output, const loss_case& value) {
        return output << value.name;
    }
};

const loss_case loss_cases[] = {
    {"the lease ended", [](quota_claims& claims) { claims.on_lease(0); }},
    {"another lease", [](quota_claims& claims) { claims.on_lease(lease + 1); }},
    {"the item was removed",
     [](quota_claims& claims) {
         claims.on_changed(start, {item_of(0, "", 0, 11), true});
     }},
    {"another host owns it",
     [](quota_claims& claims) {
         claims.on_changed(start, {item_of(0, "other", 7, 11), false});
     }},
    {"the registry came back",
     [](quota_claims& claims) {
         claims.on_era(start, 1);
         claims.on_lease(lease);
     }},
    {"the host stops", [](quota_claims& claims) { claims.stop(); }},
};

} // namespace

// Guards against an owner that goes on after it has lost its slot.
BOOST_DATA_TEST_CASE(a_slot_is_lost, boost::unit_test::data::make(loss_cases), tested) {
    quota_claims claims = ready_claims();
    claims.on_era(start, 0);
    claims.on_changed(start, {item_of(0, "self", lease), false});
    BOOST_REQUIRE(claims.owns(0));
    tested.happens(claims);
    BOOST_TEST(!claims.owns(0));
}

// Guards against slots without an owner for the rest of the lease after a planned stop.
BOOST_AUTO_TEST_CASE(a_stopping_host_removes_its_items) {
    quota_claims claims = ready_claims();
    BOOST_TEST(!claims.removal().has_value());
    claims.on_listed(start, {item_of(2, "self", lease, 8), item_of(3, "other", 7)});
    const std::optional<write_items> removal = claims.removal();
    BOOST_REQUIRE(removal.has_value());
    BOOST_TEST(removal->removals == std::vector<std::string>{key_of(2)},
               boost::test_tools::per_element());
    BOOST_TEST(removal->expected.front().revision == 8U);
}

namespace {

const std::vector<core::host_id> many{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}, {"f"},
                                      {"g"}, {"h"}, {"i"}, {"j"}, {"k"}, {"self"}};

/// @return Claims of a host that owns all slots, one of twelve hosts.
quota_claims owner_of_all() {
    quota_claims claims = ready_claims();
    std::vector<registry_item> items;
    for (quota_slot slot = 0; slot < quota_slot_count; ++slot) {
        items.push_back(item_of(slot, "self", lease));
    }
    claims.on_listed(start, items);
    claims.on_hosts(many);
    return claims;
}

} // namespace

// Guards against a small host that answers all requests for tokens because it started first.
BOOST_AUTO_TEST_CASE(an_owner_of_too_many_slots_gives_some_up) {
    quota_claims claims = owner_of_all();
    core::time_point now = start;
    std::size_t released = 0;
    for (; now < start + 30s; now += 100ms) {
        const auto release = claims.next_release(now);
        if (release.has_value()) {
            ++released;
            BOOST_TEST(!claims.owns(release->slot));
            BOOST_TEST(release->call.expected.front().revision == 10U);
            claims.on_released(*release, {registry_status::done, 20, {}});
            claims.on_changed(now, {{key_of(release->slot), "a", 21, 7}, false});
        }
        BOOST_TEST(claims.next_claims(now).empty());
    }
    BOOST_TEST(released == 10U);
}

// Guards against two owners: a list made before the removal still shows the item, while another
// host may own the slot already.
BOOST_AUTO_TEST_CASE(a_slot_that_was_given_up_is_not_taken_back_from_an_old_list) {
    quota_claims claims = owner_of_all();
    const auto release = claims.next_release(start);
    BOOST_REQUIRE(release.has_value());
    claims.on_changed(start + 1s, {item_of(release->slot, "self", lease), false});
    BOOST_TEST(!claims.owns(release->slot));
}

// Guards against a slot that stays without an owner because its removal had no answer.
BOOST_AUTO_TEST_CASE(a_removal_without_an_answer_is_repeated) {
    quota_claims claims = owner_of_all();
    const auto first = claims.next_release(start);
    claims.on_released(*first, {registry_status::unknown, 0, {}});
    BOOST_TEST(!claims.next_release(start + 999ms).has_value());
    const auto second = claims.next_release(start + 1s);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->slot == first->slot);
    BOOST_TEST(second->call.expected.front().revision == 10U);
}

} // namespace lovagemoor::proxy
