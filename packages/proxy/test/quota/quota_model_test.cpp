#include "quota_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <ostream>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::quota_cluster;
using testing::quota_rules;

/// Tighter than in the reference deployments, so that a broken rule shows in short schedules.
constexpr quota_settings tight{1000ms, 0.05, 6, 250ms};

const organisation org{core::organisation_id{"o"}, 60, 12};

/// Most of the limit lies in the burst, which hosts and buckets can hoard.
const organisation bursty{org.id, 20, 60};

/// @brief Runs a schedule of random faults.
/// @return Greatest number of operations in any window.
std::size_t run_schedule(std::uint32_t seed, quota_rules rules, const quota_settings& settings,
                         const organisation& limits) {
    quota_cluster cluster{seed, settings, limits, rules, 4};
    cluster.demand_varies = seed % 2 == 0;
    cluster.run_for(2s);
    for (int fault = 0; fault < 8; ++fault) {
        cluster.inject_fault();
        cluster.run_for(core::duration{std::uniform_int_distribution<core::duration::rep>{
            100'000, 2'000'000}(cluster.random())});
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
    organisation limits;

    friend std::ostream& operator<<(std::ostream& output, const rule_case& value) {
        return output << value.name;
    }
};

/// The floor is so wide that wrong parts of it exceed the limit.
constexpr quota_settings wide_floor{1000ms, 0.1, 40, 250ms};

const rule_case rule_cases[] = {
    {"an owner checks its lease", [](quota_rules& rules) { rules.owner_checks_lease = false; },
     tight, org},
    {"claims are conditional", [](quota_rules& rules) { rules.claims_are_conditional = false; },
     tight, org},
    {"claims wait after the registry came back",
     [](quota_rules& rules) { rules.claims_wait_after_return = false; }, tight, org},
    {"the floor is divided", [](quota_rules& rules) { rules.floor_is_divided = false; }, wide_floor,
     org},
    {"the clock counts suspensions",
     [](quota_rules& rules) { rules.clock_counts_suspension = false; }, tight, org},
};

} // namespace

// Guards against a model that would not notice a broken rule: without any one of the rules, some
// window exceeds the limit.
BOOST_DATA_TEST_CASE(each_rule_is_needed, boost::unit_test::data::make(rule_cases), tested) {
    quota_rules rules;
    tested.switch_off(rules);
    const double limit = window_limit(tested.limits, tested.settings);
    std::uint32_t broken = 0;
    for (std::uint32_t seed = 1; seed <= 1000 && broken == 0; ++seed) {
        if (static_cast<double>(run_schedule(seed, rules, tested.settings, tested.limits)) >
            limit) {
            broken = seed;
        }
    }
    BOOST_TEST_MESSAGE(tested.name << ": broken by seed " << broken);
    BOOST_TEST(broken != 0U);
}

namespace {

/// The floor is most of the limit.
constexpr quota_settings widest_floor{1000ms, 0.1, 100, 250ms};

struct directed_case {
    const char* name;
    void (*switch_off)(quota_rules&);
    quota_settings settings;
    organisation limits;
    std::size_t hosts;
    void (*schedule)(quota_cluster&);

    friend std::ostream& operator<<(std::ostream& output, const directed_case& value) {
        return output << value.name;
    }
};

void set_demand(quota_cluster& cluster, double attempts_per_step) {
    for (std::size_t index = 0; index < cluster.host_count(); ++index) {
        cluster.host_at(index).attempts_per_step = attempts_per_step;
    }
}

/// @brief Three hosts are suspended one after the other, each with a request for many tokens under
/// way. All wake at the same time.
void wake_with_grants(quota_cluster& cluster) {
    set_demand(cluster, 0);
    cluster.run_for(6s);
    for (std::size_t index = 4; index < 7; ++index) {
        cluster.start_host(false).attempts_per_step = 0;
    }
    cluster.run_for(1s);
    const core::time_point wake = cluster.now() + 9s;
    for (std::size_t index = 4; index < 7; ++index) {
        quota_cluster::host& suspended = cluster.host_at(index);
        // The first request is lost, the next one asks for all operations that wait meanwhile.
        for (int waiting = 0; waiting < 40; ++waiting) {
            static_cast<void>(suspended.client->ask(cluster.now(), bursty.id, true));
        }
        cluster.run_for(quota_client::answer_timeout);
        suspended.attempts_per_step = 1;
        cluster.run_for(quota_cluster::step);
        cluster.freeze(suspended, wake - cluster.now());
        cluster.run_for(2800ms);
    }
    cluster.run_for(wake - cluster.now() - 10ms);
    set_demand(cluster, 5);
    cluster.run_for(2s);
}

/// @brief All hosts use up a burst and are started anew at once.
void restart_after_a_burst(quota_cluster& cluster) {
    cluster.longest_delay = 20ms;
    set_demand(cluster, 0);
    cluster.run_for(6s);
    set_demand(cluster, 5);
    cluster.run_for(200ms);
    for (std::size_t restarted = 0; restarted < 4; ++restarted) {
        const core::host_id id = cluster.host_at(0).id;
        cluster.start_host(false, core::host_id{"unused"});
        cluster.kill(id);
        cluster.kill(core::host_id{"unused"});
        cluster.start_host(false, id).attempts_per_step = 5;
    }
    cluster.run_for(2s);
}

/// @brief Three hosts are cut off from all others, the fourth takes over all slots, and three new
/// hosts lose their links.
void replace_cut_off_hosts(quota_cluster& cluster) {
    cluster.run_for(3s);
    for (std::size_t index = 0; index < 3; ++index) {
        cluster.host_at(index).link_cut_until = cluster.now() + 1h;
        cluster.host_at(index).registry_cut_until = cluster.now() + 1h;
    }
    cluster.run_for(8s);
    for (std::size_t added = 0; added < 3; ++added) {
        cluster.start_host(true).link_cut_until = cluster.now() + 1h;
    }
    cluster.run_for(6s);
}

/// @brief Three of four hosts read lists of hosts that are behind while twenty new ones start. Only
/// the first host keeps its link; it owns all slots.
void start_beside_stale_lists(quota_cluster& cluster) {
    cluster.run_for(3s);
    for (std::size_t added = 0; added < 3; ++added) {
        cluster.start_host(true);
    }
    cluster.run_for(7s);
    for (std::size_t index = 1; index < 4; ++index) {
        cluster.host_at(index).link_cut_until = cluster.now() + 1h;
        cluster.host_at(index).list_staleness = 5s;
    }
    for (std::size_t added = 0; added < 20; ++added) {
        cluster.start_host(false).link_cut_until = cluster.now() + 1h;
    }
    cluster.run_for(5s);
}

const directed_case directed_cases[] = {
    {"tokens expire", [](quota_rules& rules) { rules.tokens_expire = false; }, tight, bursty, 4,
     wake_with_grants},
    {"a new owner starts with empty buckets",
     [](quota_rules& rules) { rules.starts_empty = false; }, tight, bursty, 4,
     restart_after_a_burst},
    {"the floor needs a registration",
     [](quota_rules& rules) { rules.floor_needs_registration = false; }, widest_floor, org, 4,
     replace_cut_off_hosts},
    {"the floor waits until all lists show the host",
     [](quota_rules& rules) { rules.floor_waits_for_lists = false; },
     {1000ms, 0.1, 200, 250ms},
     org,
     1,
     start_beside_stale_lists},
};

std::size_t run_directed(const directed_case& tested, const quota_rules& rules) {
    quota_cluster cluster{1, tested.settings, tested.limits, rules, tested.hosts};
    cluster.loss = 0;
    tested.schedule(cluster);
    return cluster.most_in_a_window();
}

} // namespace

// Guards against rules that hold in random schedules only because their failure is rare: each
// schedule exceeds the limit without its rule, and keeps it with the rule.
BOOST_DATA_TEST_CASE(each_rule_is_needed_in_its_schedule,
                     boost::unit_test::data::make(directed_cases), tested) {
    const double limit = window_limit(tested.limits, tested.settings);
    BOOST_TEST(static_cast<double>(run_directed(tested, {})) <= limit);
    quota_rules rules;
    tested.switch_off(rules);
    BOOST_TEST(static_cast<double>(run_directed(tested, rules)) > limit);
}

// Guards against a floor that is never used: a host without links still serves its part.
BOOST_AUTO_TEST_CASE(a_host_without_links_serves_its_part_of_the_floor) {
    quota_cluster cluster{1, widest_floor, org, {}, 4};
    cluster.loss = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        cluster.host_at(index).link_cut_until = cluster.now() + 1h;
        cluster.host_at(index).attempts_per_step = index == 0 ? 1 : 0;
    }
    cluster.run_for(4s);
    const double part = std::floor(share_of(org, widest_floor).floor / 4);
    BOOST_TEST(part > 0);
    BOOST_TEST(static_cast<double>(cluster.most_in_a_window()) >= part);
}

// Guards against buckets and hosts that keep the tokens of a former, higher limit.
BOOST_AUTO_TEST_CASE(a_lowered_limit_holds_once_it_is_in_force) {
    const organisation lowered{org.id, 8, 4};
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        quota_cluster cluster{seed, tight, bursty, {}, 4};
        cluster.run_for(4s);
        for (std::size_t index = 0; index < 4; ++index) {
            cluster.host_at(index).attempts_per_step = 0;
        }
        cluster.run_for(2s);
        cluster.set_limits(lowered);
        // All hosts learn of it within 500 ms, and the last tokens of the former limit expire.
        cluster.run_for(500ms + tight.grant_validity);
        const core::time_point in_force = cluster.now();
        for (std::size_t index = 0; index < 4; ++index) {
            cluster.host_at(index).attempts_per_step = 3;
        }
        cluster.run_for(4s);
        const std::size_t most = cluster.most_in_a_window(in_force);
        BOOST_TEST(static_cast<double>(most) <= window_limit(lowered, tight),
                   "seed " << seed << ": " << most);
        BOOST_TEST(most > 0U);
    }
}

} // namespace lovagemoor::proxy
