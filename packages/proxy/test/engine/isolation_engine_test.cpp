#include "fake_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

/// @file
/// @brief When a host takes itself for cut off, and how its sessions end then or in a stop.

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::fake_cluster;
using kind = statement_kind;

const core::target_id t1{"t1"};
const core::target_id t2{"t2"};

fake_cluster started() {
    fake_cluster cluster;
    cluster.start_reference();
    cluster.run_for(500ms);
    return cluster;
}

/// @brief The targets outside of the host's failure domain do not answer any more.
void lose_distant_targets(fake_cluster& cluster) {
    const session_id caller = cluster.open("latest");
    cluster.send(caller, kind::write, "x");
    cluster.run_for(100ms);
    cluster.targets.at(t1).reachable = false;
    cluster.targets.at(t2).reachable = false;
}

/// @brief Hosts of other failure domains send something every 300 ms.
void hear_peers(fake_cluster& cluster, core::duration time) {
    for (core::duration passed{0}; passed < time; passed += 300ms) {
        cluster.apply(peer_contacted{});
        cluster.run_for(300ms);
    }
}

bool is_ready(const fake_cluster& cluster) {
    const auto changes = cluster.performed<set_ready>();
    return !changes.empty() && changes.back().ready;
}

} // namespace

// Guards against a host that closes its sessions because its probes are late: its network link is
// full, or that of the hosts through which it reaches the targets (issue 48).
BOOST_AUTO_TEST_CASE(a_host_that_hears_other_domains_is_not_isolated) {
    fake_cluster cluster = started();
    lose_distant_targets(cluster);
    hear_peers(cluster, 6s);
    BOOST_TEST(is_ready(cluster));
    BOOST_TEST(cluster.performed<close_session>().empty());
    cluster.run_for(6s);
    BOOST_TEST(!is_ready(cluster));
    BOOST_TEST(!cluster.performed<close_session>().empty());
}

// Guards against statements that cross the close of their session, since it follows an answer at
// once (issue 48).
BOOST_AUTO_TEST_CASE(an_isolated_host_does_not_end_a_session_between_statements) {
    fake_cluster cluster = started();
    lose_distant_targets(cluster);
    cluster.run_for(5s);
    BOOST_REQUIRE(!is_ready(cluster));
    const session_id caller = cluster.open("latest");
    for (int sent = 0; sent < 20; ++sent) {
        BOOST_TEST_REQUIRE(!cluster.is_closed(caller));
        const std::string id = cluster.send(caller, kind::set, "v", "1");
        cluster.run_for(7ms);
        BOOST_TEST(cluster.answer(id).has_value());
    }
    cluster.run_for(200ms);
    BOOST_TEST(cluster.is_closed(caller));
    BOOST_TEST(cluster.unanswered() == 0U);
}

// Guards against the close of a session whose caller has just been told that it may begin (issue
// 48).
BOOST_AUTO_TEST_CASE(a_session_opened_in_a_stop_is_not_closed_before_its_first_statement) {
    fake_cluster cluster = started();
    cluster.apply(stop_requested{});
    cluster.run_for(session_engine_settings{}.stop_grace / 3 + 50ms);
    for (int opened = 0; opened < 10; ++opened) {
        const session_id caller = cluster.open("latest");
        cluster.run_for(7ms);
        BOOST_TEST_REQUIRE(!cluster.is_closed(caller));
        const std::string refused = cluster.send(caller, kind::read, "x");
        cluster.run_for(1ms);
        BOOST_TEST_REQUIRE(cluster.answer(refused).has_value());
        BOOST_TEST(cluster.answer(refused)->result.error.has_value());
        cluster.run_for(100ms);
        BOOST_TEST(cluster.is_closed(caller));
    }
    BOOST_TEST(cluster.unanswered() == 0U);
}

} // namespace lovagemoor::proxy
