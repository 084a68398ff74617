#include "quota_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::quota_cluster;
using testing::quota_rules;

/// Tighter than in the reference deployments, so that a broken rule shows in short schedules.
constexpr quota_settings tight{1000ms, 0.05, 6, 250ms};

const organisation org{core::organisation_id{"o"}, 60, 12};

/// @brief Runs a schedule of random faults.
/// @return Greatest number of operations in any window.
std::size_t run_schedule(std::uint32_t seed, quota_rules rules, const quota_settings& settings,
                         const organisation& limits) {
    quota_cluster cluster{seed, settings, limits, rules, 4};
    cluster.run_for(2s);
    for (int fault = 0; fault < 8; ++fault) {
        cluster.inject_fault();
        cluster.run_for(core::duration{
            std::uniform_int_distribution<core::duration::rep>{100'000, 2'000'000}(
                cluster.random())});
    }
    return cluster.most_in_a_window();
}

struct model_case {
    const char* name;
    quota_settings settings;
    organisation limits;

    friend std::ostream& operator<<(std::ostream& output, const model_case& value) {
        return output << value.name;
    }
};

const model_case model_cases[] = {
    {"tight bounds", tight, org},
    {"no overage and no slack", {1000ms, 0, 0, 250ms}, org},
    {"a wide floor", {1000ms, 0.1, 40, 250ms}, org},
    {"less than an operation per window", {1000ms, 0, 0, 250ms}, {org.id, 0.5, 1}},
};

} // namespace

// Guards against any window, over all hosts, with more operations than the rule allows, whatever
// messages are lost or late and whichever hosts are cut off, suspended, killed or started.
BOOST_DATA_TEST_CASE(no_window_exceeds_the_limit, boost::unit_test::data::make(model_cases),
                     tested) {
    const double limit = window_limit(tested.limits, tested.settings);
    for (std::uint32_t seed = 1; seed <= 500; ++seed) {
        const std::size_t most = run_schedule(seed, {}, tested.settings, tested.limits);
        BOOST_TEST(static_cast<double>(most) <= limit, "seed " << seed << ": " << most);
    }
}

namespace {

struct rule_case {
    const char* name;
    void (*switch_off)(quota_rules&);
    quota_settings settings;

    friend std::ostream& operator<<(std::ostream& output, const rule_case& value) {
        return output << value.name;
    }
};

/// The floor is so wide that wrong parts of it exceed the limit.
constexpr quota_settings wide_floor{1000ms, 0.1, 40, 250ms};

const rule_case rule_cases[] = {
    {"tokens expire", [](quota_rules& rules) { rules.tokens_expire = false; }, tight},
    {"an owner checks its lease", [](quota_rules& rules) { rules.owner_checks_lease = false; },
     tight},
    {"a new owner starts with empty buckets",
     [](quota_rules& rules) { rules.starts_empty = false; }, tight},
    {"claims are conditional", [](quota_rules& rules) { rules.claims_are_conditional = false; },
     tight},
    {"claims wait after the registry came back",
     [](quota_rules& rules) { rules.claims_wait_after_return = false; }, tight},
    {"the floor is divided", [](quota_rules& rules) { rules.floor_is_divided = false; },
     wide_floor},
    {"the clock counts suspensions",
     [](quota_rules& rules) { rules.clock_counts_suspension = false; }, tight},
};

} // namespace

// Guards against a model that would not notice a broken rule: without any one of the rules, some
// window exceeds the limit.
BOOST_DATA_TEST_CASE(each_rule_is_needed, boost::unit_test::data::make(rule_cases), tested) {
    quota_rules rules;
    tested.switch_off(rules);
    const double limit = window_limit(org, tested.settings);
    std::uint32_t broken = 0;
    for (std::uint32_t seed = 1; seed <= 1000 && broken == 0; ++seed) {
        if (static_cast<double>(run_schedule(seed, rules, tested.settings, org)) > limit) {
            broken = seed;
        }
    }
    BOOST_TEST_MESSAGE(tested.name << ": broken by seed " << broken);
    BOOST_TEST(broken != 0U);
}

} // namespace lovagemoor::proxy
