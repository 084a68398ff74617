#include <lovagemoor/proxy/quota/quota_floor.hpp>

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
const std::vector<core::host_id> three{{"self"}, {"a"}, {"b"}};
const std::vector<core::host_id> two{{"self"}, {"a"}};

/// @return The counts of a host that has been registered for long.
quota_floor_hosts settled() {
    quota_floor_hosts hosts{core::host_id{"self"}, 5000ms, 9000ms};
    for (core::duration age = 40s; age >= 0s; age -= 8s) {
        hosts.on_listed(start - age, three);
        hosts.on_lease_renewed(start - age);
    }
    return hosts;
}

struct floor_case {
    const char* name;
    std::function<void(quota_floor_hosts&)> happens;
    core::time_point at;
    std::size_t hosts;

    friend std::ostream& operator<<(std::ostream& output, const floor_case& value) {
        return output << value.name;
    }
};

const floor_case floor_cases[] = {
    {"a settled host", [](quota_floor_hosts&) {}, start, 3},
    {"registry away: the registration is certain", [](quota_floor_hosts&) {}, start + 8499ms, 3},
    {"registry away: the registration may have ended", [](quota_floor_hosts&) {}, start + 8500ms,
     0},
    {"a suspended host wakes", [](quota_floor_hosts&) {}, start + 60s, 0},
    {"the list is too old", [](quota_floor_hosts& hosts) { hosts.on_lease_renewed(start + 9s); },
     start + 10s, 0},
    {"the lease was lost", [](quota_floor_hosts& hosts) { hosts.on_lease_lost(); }, start, 0},
    {"the host is not listed",
     [](quota_floor_hosts& hosts) {
         hosts.on_listed(start, {{"a"}, {"b"}});
     },
     start, 0},
    {"a host that left still counts", [](quota_floor_hosts& hosts) { hosts.on_listed(start, two); },
     start + 4s, 3},
    {"a host that left more than a window ago",
     [](quota_floor_hosts& hosts) {
         hosts.on_listed(start, two);
         hosts.on_listed(start + 6s, two);
     },
     start + 6s, 2},
    {"a new host counts",
     [](quota_floor_hosts& hosts) {
         hosts.on_listed(start, {{"self"}, {"a"}, {"b"}, {"c"}});
     },
     start, 4},
    {"lists were missed for a while",
     [](quota_floor_hosts& hosts) {
         hosts.on_listed(start + 30s, three);
         hosts.on_lease_renewed(start + 30s);
     },
     start + 32s, 0},
};

} // namespace

// Guards against hosts that use the floor without all others counting them.
BOOST_DATA_TEST_CASE(the_floor_is_divided_between_known_hosts,
                     boost::unit_test::data::make(floor_cases), tested) {
    quota_floor_hosts hosts = settled();
    tested.happens(hosts);
    BOOST_TEST(hosts.floor(tested.at).hosts == tested.hosts);
}

// Guards against a new host that uses the floor before the lists of others show it.
BOOST_AUTO_TEST_CASE(a_new_host_waits) {
    quota_floor_hosts hosts{core::host_id{"self"}, 5000ms, 9000ms};
    core::time_point now = start;
    for (; now < start + 25s; now += 5s) {
        hosts.on_listed(now, three);
        hosts.on_lease_renewed(now);
        BOOST_TEST(hosts.floor(now).hosts == 0U);
    }
    hosts.on_listed(now, three);
    hosts.on_lease_renewed(now);
    BOOST_TEST(hosts.floor(now).hosts == 3U);
}

} // namespace lovagemoor::proxy
