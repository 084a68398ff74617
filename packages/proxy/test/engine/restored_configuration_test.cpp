#include "fake_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::fake_cluster;

/// @return True if a read of a new session of the route "own" is answered with success at once.
bool own_route_is_served(fake_cluster& cluster) {
    const session_id caller = cluster.open("own");
    const std::string read = cluster.send(caller, statement_kind::read, "x");
    cluster.run_for(100ms);
    const auto given = cluster.answer(read);
    return given.has_value() && !given->result.error.has_value();
}

} // namespace

// Guards against a host that goes back to the configuration of the copy from which the registry
// came back (CONFIG, "a machine regresses"), and against one that waits for the newer one to be
// listed twice.
BOOST_AUTO_TEST_CASE(a_restored_registry_does_not_take_the_configuration_back) {
    fake_cluster cluster;
    cluster.start_reference();
    cluster.configure(6);
    cluster.run_for(500ms);
    BOOST_TEST(own_route_is_served(cluster));

    cluster.apply(registry_restored{3, 4});
    // In the older version, the route led to a service that has no targets.
    cluster.configure(5, "other");
    BOOST_TEST(own_route_is_served(cluster));
    // The operator writes the version in force again.
    cluster.configure(6, "other");
    BOOST_TEST(own_route_is_served(cluster));

    cluster.configure(8, "other");
    BOOST_TEST(!own_route_is_served(cluster));
    // The registry may come back again before the next version is written.
    cluster.apply(registry_restored{4, 5});
    cluster.configure(6);
    BOOST_TEST(!own_route_is_served(cluster));
    cluster.configure(9);
    BOOST_TEST(own_route_is_served(cluster));
}

// Guards against a host that refuses to serve because the configuration was there before the
// return: one that starts then knows no newer version.
BOOST_AUTO_TEST_CASE(a_host_that_starts_after_a_return_serves_the_configuration_that_is_there) {
    fake_cluster cluster;
    cluster.apply(registry_restored{3, 4});
    cluster.start_reference();
    cluster.run_for(500ms);
    BOOST_TEST(own_route_is_served(cluster));
    cluster.configure(2, "other");
    BOOST_TEST(!own_route_is_served(cluster));
}

} // namespace lovagemoor::proxy
