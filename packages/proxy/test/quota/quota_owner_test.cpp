#include <lovagemoor/proxy/quota/quota_owner.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <ostream>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

const core::time_point start{std::chrono::seconds{1000}};
const quota_settings rule{5000ms, 0.1, 20, 250ms};
const core::organisation_id org{"o"};
const quota_slot slot = 4;

/// Each bucket: 10 tokens per second, capacity 11.
std::map<core::organisation_id, organisation> limits(double rate_per_s = 30, double burst = 30) {
    return {{org, organisation{org, rate_per_s, burst}}};
}

/// @return An owner whose bucket is full at the start.
quota_owner full_owner() {
    quota_owner owner{rule, 9000ms};
    owner.configure(start - 20s, limits());
    owner.acquire(start - 20s, slot);
    owner.on_lease_renewed(start);
    return owner;
}

struct owner_case {
    const char* name;
    std::function<void(quota_owner&)> happens;
    core::time_point asked;
    unsigned granted;
    bool not_owner;

    friend std::ostream& operator<<(std::ostream& output, const owner_case& value) {
        return output << value.name;
    }
};

const owner_case owner_cases[] = {
    {"an owner in touch grants its burst", [](quota_owner&) {}, start, 11, false},
    {"a lowered limit holds at once",
     [](quota_owner& owner) { owner.configure(start, limits(3, 3)); }, start, 2, false},
    {"a raised limit fills the bucket in time",
     [](quota_owner& owner) {
         static_cast<void>(owner.grant(start, org, slot, 11));
         owner.configure(start, limits(60, 60));
     },
     start + 500ms, 10, false},
    {"a removed organisation gets nothing", [](quota_owner& owner) { owner.configure(start, {}); },
     start + 1s, 0, false},
    {"an organisation that is back starts with an empty bucket",
     [](quota_owner& owner) {
         owner.configure(start, {});
         owner.configure(start + 100ms, limits());
     },
     start + 600ms, 5, false},
    {"an organisation without a rate is not granted tokens",
     [](quota_owner& owner) { owner.configure(start, limits(0, 0)); }, start, 0, false},
    {"a host that never owned the slot", [](quota_owner& owner) { owner.release(slot); }, start, 0,
     true},
    {"registry away: the last moment of certainty", [](quota_owner&) {}, start + 8499ms, 11, false},
    {"registry away: the lease may have ended", [](quota_owner&) {}, start + 8500ms, 0, true},
    {"a suspended owner wakes after its lease", [](quota_owner&) {}, start + 60s, 0, true},
    {"a renewal counts from its sending",
     [](quota_owner& owner) { owner.on_lease_renewed(start + 3s); }, start + 11499ms, 11, false},
    {"an older renewal answered late changes nothing",
     [](quota_owner& owner) { owner.on_lease_renewed(start - 5s); }, start + 8499ms, 11, false},
    {"the lease was lost, as after a return of the registry",
     [](quota_owner& owner) { owner.on_lease_lost(); }, start, 0, true},
    {"a new owner waits until former grants have expired",
     [](quota_owner& owner) {
         owner.on_lease_lost();
         owner.on_lease_renewed(start);
         owner.acquire(start, slot);
     },
     start + 249ms, 0, false},
    {"a new owner starts with an empty bucket",
     [](quota_owner& owner) {
         owner.on_lease_lost();
         owner.on_lease_renewed(start);
         owner.acquire(start, slot);
     },
     start + 250ms + 300ms, 3, false},
    {"learning again of an owned slot changes nothing",
     [](quota_owner& owner) { owner.acquire(start, slot); }, start, 11, false},
};

} // namespace

// Guards against owners that grant what another owner, or an earlier limit, has granted.
BOOST_DATA_TEST_CASE(owners_grant_what_is_certain, boost::unit_test::data::make(owner_cases),
                     tested) {
    quota_owner owner = full_owner();
    tested.happens(owner);
    const quota_owner::answer answer = owner.grant(tested.asked, org, slot, 100);
    BOOST_TEST(answer.granted == tested.granted);
    BOOST_TEST(answer.not_owner == tested.not_owner);
}

// Guards against a retry time at which there is still no token, or that is longer than necessary.
BOOST_AUTO_TEST_CASE(a_refusal_names_the_time_of_the_next_token) {
    quota_owner owner = full_owner();
    static_cast<void>(owner.grant(start, org, slot, 11));
    const quota_owner::answer refused = owner.grant(start, org, slot, 1);
    BOOST_TEST(refused.granted == 0U);
    BOOST_TEST(refused.retry_after.count() == 100);
    BOOST_TEST(owner.grant(start + refused.retry_after, org, slot, 1).granted == 1U);
}

// Guards against refused callers that all come back for the same token.
BOOST_AUTO_TEST_CASE(refused_requests_are_told_different_times) {
    quota_owner owner = full_owner();
    static_cast<void>(owner.grant(start, org, slot, 11));
    std::chrono::milliseconds last{0};
    for (int asked = 0; asked < 20; ++asked) {
        const quota_owner::answer refused = owner.grant(start, org, slot, 1);
        BOOST_TEST(refused.retry_after.count() > last.count());
        last = refused.retry_after;
    }
    BOOST_TEST(last.count() <= rule.window.count());
}

// Guards against the loss of one owner that costs other slots.
BOOST_AUTO_TEST_CASE(a_released_slot_does_not_affect_others) {
    quota_owner owner = full_owner();
    owner.acquire(start - 20s, slot + 1);
    owner.release(slot + 1);
    BOOST_TEST(owner.grant(start, org, slot + 1, 1).not_owner);
    BOOST_TEST(owner.grant(start, org, slot, 1).granted == 1U);
}

} // namespace lovagemoor::proxy
