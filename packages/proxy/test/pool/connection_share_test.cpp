#include <lovagemoor/proxy/pool/connection_share.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

struct share_case {
    const char* name;
    connection_limit limit;
    bool home;
    unsigned most;
    unsigned kept;

    friend std::ostream& operator<<(std::ostream& output, const share_case& value) {
        return output << value.name;
    }
};

const std::vector<share_case> cases{
    {"17 hosts, 72 connections, 5 slots", {72, 17, 5}, false, 8, 2},
    {"13 hosts, 61 connections, 2 slots", {61, 13, 2}, false, 5, 2},
    {"more hosts than connections", {76, 95, 6}, false, 1, 0},
    {"more hosts than connections, home", {76, 95, 6}, true, 1, 1},
    {"unknown limit", {0, 17, 5}, true, 1, 1},
    {"unknown hosts", {72, 0, 5}, false, 8, 2},
    {"one host", {72, 1, 5}, false, 72, 36},
};

} // namespace

// Guards against hosts that together hold more than a target accepts while they restart.
BOOST_DATA_TEST_CASE(share_follows_limit_and_hosts, boost::unit_test::data::make(cases), sample) {
    BOOST_TEST(most_connections(sample.limit) == sample.most);
    BOOST_TEST(kept_connections(sample.limit, sample.home) == sample.kept);
}

// Guards against one replica that all hosts of a large deployment keep connected.
BOOST_AUTO_TEST_CASE(homes_are_spread_and_stable) {
    const std::vector<core::target_id> replicas{core::target_id{"t1"}, core::target_id{"t2"},
                                                core::target_id{"t3"}};
    std::map<std::string, int> hosts;
    int moved = 0;
    constexpr int all_hosts = 300;
    for (int index = 0; index < all_hosts; ++index) {
        const core::host_id host{"host-" + std::to_string(index)};
        const core::target_id home = home_target(host, replicas);
        ++hosts[home.value];
        const core::target_id without_third = home_target(host, {replicas[0], replicas[1]});
        moved += home != replicas[2] && without_third != home ? 1 : 0;
    }
    for (const auto& [target, count] : hosts) {
        BOOST_TEST(count > all_hosts / 5, target);
    }
    BOOST_TEST(moved == 0);
}

} // namespace lovagemoor::proxy
