#include <lovagemoor/proxy/promotion/promotion_lock_claim.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

constexpr core::time_point start{};
constexpr lease_id claimed_lease = 20;

enum class claim_progress : std::uint8_t { none, sent, granted, finished };

struct owner_case {
    std::string name;
    claim_progress progress = claim_progress::none;
    std::string value;
    lease_id lease = 0;
    promotion_lock_owner owner = promotion_lock_owner::other;
};

std::ostream& operator<<(std::ostream& out, const owner_case& sample) {
    return out << sample.name;
}

const std::vector<owner_case> owner_cases{
    {"another host", claim_progress::granted, "b", 19, promotion_lock_owner::other},
    {"own item, pending", claim_progress::granted, "a", 20, promotion_lock_owner::pending_claim},
    {"own item, known", claim_progress::finished, "a", 20, promotion_lock_owner::known_claim},
    {"earlier process, no claim", claim_progress::none, "a", 19, promotion_lock_owner::other},
    {"earlier process, not granted", claim_progress::sent, "a", 19, promotion_lock_owner::other},
    {"earlier process, granted", claim_progress::granted, "a", 19, promotion_lock_owner::other},
    {"earlier process, finished", claim_progress::finished, "a", 19, promotion_lock_owner::other},
    {"no lease, no claim", claim_progress::none, "a", 0, promotion_lock_owner::other},
    {"no lease, not granted", claim_progress::sent, "a", 0, promotion_lock_owner::other},
};

struct wait_case {
    const char* name;
    /// Era and time of each answer.
    std::vector<std::pair<std::optional<registry_era>, core::duration>> answers;
    core::duration claimed_after;
    std::chrono::milliseconds wait;

    friend std::ostream& operator<<(std::ostream& output, const wait_case& sample) {
        return output << sample.name;
    }
};

const std::vector<wait_case> wait_cases{
    {"a registry without eras", {{std::nullopt, 0ms}}, 0ms, 0ms},
    {"the first era", {{0, 0ms}}, 0ms, 0ms},
    {"the first era was missed", {{1, 0ms}}, 0ms, 3000ms},
    {"a host that has just started", {{3, 0ms}}, 0ms, 3000ms},
    {"a host that has started", {{3, 0ms}}, 2000ms, 1000ms},
    {"a part of a millisecond is left", {{3, 0ms}}, std::chrono::microseconds{2'999'001}, 1ms},
    {"a lease duration has passed", {{3, 0ms}}, 3000ms, 0ms},
    {"further answers of the era", {{3, 0ms}, {3, 2000ms}}, 3000ms, 0ms},
    {"the next era", {{1, 0ms}, {2, 2000ms}}, 3000ms, 2000ms},
    {"two eras in succession", {{1, 0ms}, {2, 1000ms}, {3, 2000ms}}, 4000ms, 1000ms},
};

struct overdue_case {
    const char* name;
    /// Revisions of the lock's item and the times at which they are seen. 0 for none.
    std::vector<std::pair<registry_revision, core::duration>> seen;
    std::optional<registry_era> later_era;
    registry_revision replaced;

    friend std::ostream& operator<<(std::ostream& output, const overdue_case& sample) {
        return output << sample.name;
    }
};

/// The claim is made 4 s after the start.
const std::vector<overdue_case> overdue_cases{
    {"no lock", {}, std::nullopt, 0},
    {"a lock seen for a lease duration", {{7, 1000ms}}, std::nullopt, 7},
    {"a lock seen for less", {{7, 1001ms}}, std::nullopt, 0},
    {"a lock seen again", {{7, 1000ms}, {7, 3000ms}}, std::nullopt, 7},
    {"another lock since", {{7, 0ms}, {8, 3000ms}}, std::nullopt, 0},
    {"a lock that has ended", {{7, 0ms}, {0, 3000ms}}, std::nullopt, 0},
    {"a lock of an earlier era", {{7, 0ms}}, 2, 0},
};

} // namespace

// Guards against a lock that nobody can acquire, as its item depends on a lease that the registry
// has granted again for something else, and against replacing a lock that is held.
BOOST_DATA_TEST_CASE(an_overdue_lock_is_replaced, boost::unit_test::data::make(overdue_cases),
                     sample) {
    promotion_lock_claim claim;
    claim.on_era(start, 1);
    for (const auto& [revision, after] : sample.seen) {
        if (revision == 0) {
            claim.on_lock_unknown();
        } else {
            claim.on_lock_seen(start + after, revision);
        }
    }
    if (sample.later_era.has_value()) {
        claim.on_era(start + 3500ms, sample.later_era);
    }
    claim.start(start + 4000ms, 3000ms);
    const write_items made = claim.claim_of(start + 4000ms, core::host_id{"a"});
    BOOST_REQUIRE(made.expected.size() == 1U);
    BOOST_TEST(made.expected.front().revision == sample.replaced);
}

// Guards against a claim within the lease of a host that is cut off and does not know that the
// registry has forgotten its lock (ONE), and against waiting where no such host can exist.
BOOST_DATA_TEST_CASE(a_claim_waits_for_the_leases_of_earlier_eras,
                     boost::unit_test::data::make(wait_cases), sample) {
    promotion_lock_claim claim;
    for (const auto& [era, after] : sample.answers) {
        claim.on_era(start + after, era);
    }
    BOOST_TEST((claim.time_until_claim(start + sample.claimed_after, 3000ms) == sample.wait));
}

// Guards against a host that takes an item for its own because a later era has granted the lease of
// its claim again.
BOOST_AUTO_TEST_CASE(a_claim_ends_with_its_era) {
    promotion_lock_claim claim;
    claim.on_era(start, 1);
    const promotion_lock_claim::claim_number number = claim.start(start, 3000ms);
    claim.on_granted(claimed_lease);
    BOOST_TEST(!claim.on_era(start, 1));
    BOOST_TEST(claim.pending(number));
    BOOST_TEST(claim.on_era(start, 2));
    BOOST_TEST(!claim.pending(number));
    const registry_item item{"lovagemoor/promotion/duty", "a", 7, claimed_lease};
    BOOST_TEST((claim.owner_of(item, core::host_id{"a"}) == promotion_lock_owner::other));
}

// Guards against a demotion that a former holder announced and that the registry executes late,
// when a later era has given the revision of its lock to the lock of another host.
BOOST_AUTO_TEST_CASE(a_write_that_requires_the_lock_fails_in_another_era) {
    const auto holds = [](const write_items& claim, const promotion_token& token) {
        const std::vector<expected_revision> conditions = lock_conditions(token);
        return std::all_of(conditions.begin(), conditions.end(), [&](const auto& condition) {
            return condition.revision == token.lock_revision() &&
                   std::any_of(claim.writes.begin(), claim.writes.end(),
                               [&](const item_write& write) { return write.key == condition.key; });
        });
    };
    promotion_lock_claim claim;
    claim.start(start, 3000ms);
    claim.on_granted(claimed_lease);
    BOOST_TEST(holds(claim.claim_of(start, core::host_id{"a"}), promotion_token{7}));
    claim.on_era(start, 2);
    claim.start(start, 3000ms);
    claim.on_granted(claimed_lease);
    const write_items later = claim.claim_of(start, core::host_id{"a"});
    BOOST_TEST(holds(later, *promotion_token::make(2, 7)));
    BOOST_TEST(!holds(later, *promotion_token::make(1, 7)));
    for (const item_write& write : later.writes) {
        BOOST_TEST(write.lease == claimed_lease);
    }
}

// Guards against late answers to a claim that are taken for those of the next one.
BOOST_AUTO_TEST_CASE(the_number_tells_claims_of_a_process_apart) {
    promotion_lock_claim claim;
    const promotion_lock_claim::claim_number first = claim.start(start, 3000ms);
    const promotion_lock_claim::claim_number second = claim.start(start, 3000ms);
    BOOST_TEST(!claim.pending(first));
    BOOST_TEST(claim.pending(second));
}

// Guards against a restarted host that takes the lock of its earlier process for its own: it would
// count a full lease from its own claim, although the earlier lease ends sooner, and two hosts
// could then hold the lock (ONE).
BOOST_DATA_TEST_CASE(the_lease_tells_claims_apart, owner_cases) {
    promotion_lock_claim claim;
    if (sample.progress != claim_progress::none) {
        claim.start(start, 3000ms);
    }
    if (sample.progress >= claim_progress::granted) {
        claim.on_granted(claimed_lease);
    }
    if (sample.progress == claim_progress::finished) {
        claim.finish(start);
    }
    const registry_item item{"lovagemoor/promotion/duty", sample.value, 7, sample.lease};
    BOOST_TEST((claim.owner_of(item, core::host_id{"a"}) == sample.owner));
}

// Guards against a lease that is counted from the answer instead of the call.
BOOST_AUTO_TEST_CASE(the_lease_counts_from_the_sending_of_the_claim) {
    promotion_lock_claim claim;
    claim.start(start, 3000ms);
    claim.on_granted(claimed_lease);
    BOOST_TEST((claim.finish(start + 400ms) == 2600ms));
    BOOST_TEST(!claim.pending());
}

} // namespace lovagemoor::proxy
