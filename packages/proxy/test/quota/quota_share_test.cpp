#include <lovagemoor/proxy/quota/quota_share.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

struct share_case {
    const char* name;
    double rate_per_s;
    double burst;
    double overage;
    double slack;
    unsigned slots;
    /// Part of the rate that the buckets grant.
    double rate_part;

    friend std::ostream& operator<<(std::ostream& output, const share_case& value) {
        return output << value.name;
    }
};

const share_case share_cases[] = {
    {"the reference rule", 100, 50, 0.1, 20, 3, 1},
    {"a small organisation", 0.5, 1, 0.1, 20, 3, 1},
    {"a burst below one", 10, 0, 0.1, 20, 3, 1},
    {"no overage and no slack", 100, 50, 0, 0, 3, 497.0 / 525},
    {"a small one without slack keeps one bucket", 1, 2, 0, 0, 1, 5.0 / 5.25},
    {"a limit below one operation grants nothing", 0.1, 0, 0, 0, 0, 0},
};

} // namespace

// Guards against buckets and floor that together exceed the limit of a window, and against a
// division that gives away more of the rate than it must.
BOOST_DATA_TEST_CASE(shares_add_up_to_the_limit, boost::unit_test::data::make(share_cases),
                     tested) {
    const quota_settings settings{5000ms, tested.overage, tested.slack, 250ms};
    const organisation limits{core::organisation_id{"o"}, tested.rate_per_s, tested.burst};
    const quota_share share = share_of(limits, settings);
    BOOST_TEST(share.slots == tested.slots);
    const double total = share.slots * (share.capacity + share.rate_per_s * 5.25) + share.floor;
    BOOST_TEST(total <= window_limit(limits, settings) * (1 + 1e-12));
    BOOST_TEST(share.rate_per_s * share.slots == tested.rate_part * tested.rate_per_s,
               boost::test_tools::tolerance(1e-9));
}

// Guards against slots that own far more organisations than others.
BOOST_AUTO_TEST_CASE(organisations_are_spread_over_the_slots) {
    std::map<quota_slot, int> organisations;
    for (int index = 0; index < 400; ++index) {
        const auto slots = slots_of(core::organisation_id{"o" + std::to_string(index)});
        BOOST_TEST((std::set<quota_slot>(slots.begin(), slots.end()).size() == slots.size()));
        for (const quota_slot slot : slots) {
            ++organisations[slot];
        }
    }
    BOOST_TEST(organisations.size() == quota_slot_count);
    for (const auto& [slot, count] : organisations) {
        BOOST_TEST((count > 60 && count < 150), "slot " << slot << ": " << count);
    }
}

// Guards against hosts that claim a free slot at the same time.
BOOST_AUTO_TEST_CASE(each_host_has_a_rank_of_its_own) {
    const std::vector<core::host_id> hosts{{"a"}, {"b"}, {"c"}, {"d"}};
    std::set<std::size_t> ranks;
    for (const core::host_id& host : hosts) {
        ranks.insert(claim_rank(3, host, hosts));
    }
    BOOST_TEST((ranks == std::set<std::size_t>{0, 1, 2, 3}));
    BOOST_TEST(claim_rank(3, core::host_id{"unknown"}, hosts) == 4U);
}

namespace {

struct key_case {
    const char* key;
    std::optional<quota_slot> slot;

    friend std::ostream& operator<<(std::ostream& output, const key_case& value) {
        return output << value.key;
    }
};

const key_case key_cases[] = {
    {"lovagemoor/quota/00", 0U},           {"lovagemoor/quota/11", 11U},
    {"lovagemoor/quota/12", std::nullopt}, {"lovagemoor/quota/1", std::nullopt},
    {"lovagemoor/quota/", std::nullopt},   {"lovagemoor/quota/0x", std::nullopt},
    {"lovagemoor/hosts/00", std::nullopt}, {"lovagemoor/quota/001", std::nullopt},
};

} // namespace

// Guards against an entry written by hand that is taken for a slot.
BOOST_DATA_TEST_CASE(keys_name_slots, boost::unit_test::data::make(key_cases), tested) {
    BOOST_TEST((slot_of_key(tested.key) == tested.slot));
    if (tested.slot.has_value()) {
        BOOST_TEST(key_of(*tested.slot) == tested.key);
    }
}

} // namespace lovagemoor::proxy
