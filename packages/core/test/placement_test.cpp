#include <lovagemoor/core/placement.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using lovagemoor::core::best_host;
using lovagemoor::core::group_id;
using lovagemoor::core::host_id;
using lovagemoor::core::rank_hosts;
using lovagemoor::core::select_group;

std::vector<host_id> make_hosts(int count) {
    std::vector<host_id> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        hosts.push_back(host_id{"host-" + std::to_string(index)});
    }
    return hosts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

// Guards against targets that move between live hosts when another host fails.
BOOST_DATA_TEST_CASE(losing_a_host_moves_only_its_keys, boost::unit_test::data::xrange(50), index) {
    const std::string key = "target-" + std::to_string(index);
    const std::vector<host_id> before = rank_hosts(key, make_hosts(15));
    std::vector<host_id> rest = before;
    rest.erase(rest.begin() + 7);
    BOOST_TEST(rank_hosts(key, rest).front().value == before.front().value);
}

// Guards against a difference between the owner that best_host() finds and the first of the
// ranking.
BOOST_DATA_TEST_CASE(best_host_is_the_first_of_the_ranking, boost::unit_test::data::xrange(50),
                     index) {
    const std::string key = "target-" + std::to_string(index);
    BOOST_TEST(best_host(key, make_hosts(15)).value ==
               rank_hosts(key, make_hosts(15)).front().value);
}

// Guards against a ranking that depends on the order of the hosts in the input.
BOOST_AUTO_TEST_CASE(ranking_ignores_input_order) {
    std::vector<host_id> hosts = make_hosts(9);
    const std::vector<host_id> ranked = rank_hosts("target-1", hosts);
    std::reverse(hosts.begin(), hosts.end());
    BOOST_TEST((rank_hosts("target-1", hosts) == ranked));
}

// Guards against shard keys that select only some of the groups.
BOOST_AUTO_TEST_CASE(shard_keys_reach_all_groups) {
    const std::vector<group_id> groups{{"g1"}, {"g2"}, {"g3"}};
    std::vector<int> hits(groups.size(), 0);
    for (int index = 0; index < 300; ++index) {
        const group_id& chosen = select_group("order-" + std::to_string(index), groups);
        ++hits.at(static_cast<std::size_t>(&chosen - groups.data()));
    }
    for (const int count : hits) {
        BOOST_TEST(count > 50);
    }
}

BOOST_AUTO_TEST_SUITE_END()
