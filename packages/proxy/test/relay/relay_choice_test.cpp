#include <lovagemoor/proxy/relay/relay_choice.hpp>

#include <lovagemoor/proxy/link/weighted_rendezvous.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

link_peer make_peer(const std::string& host, const std::string& domain, double weight = 1) {
    return {core::host_id{host}, core::domain_id{domain}, "", weight, "127.0.0.1:1"};
}

std::vector<link_peer> make_peers(int count) {
    std::vector<link_peer> peers;
    peers.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        peers.push_back(make_peer("front-" + std::to_string(index), index % 2 == 0 ? "a" : "b"));
    }
    return peers;
}

} // namespace

// Guards against hosts that choose differently because their lists are ordered differently.
BOOST_AUTO_TEST_CASE(relays_do_not_depend_on_the_order_of_the_list) {
    std::vector<link_peer> peers = make_peers(40);
    const std::vector<core::host_id> relays = relays_of_domain(peers, core::domain_id{"a"});
    BOOST_TEST_REQUIRE(relays.size() == relays_per_group);
    std::reverse(peers.begin(), peers.end());
    BOOST_TEST((relays_of_domain(peers, core::domain_id{"a"}) == relays));
}

// Guards against calls that cross failure domains, and against relays that ask other relays.
BOOST_AUTO_TEST_CASE(hosts_ask_the_relays_of_their_domain_and_relays_ask_none) {
    const std::vector<link_peer> peers = make_peers(40);
    for (const link_peer& peer : peers) {
        const std::vector<core::host_id> relays = relays_of_domain(peers, peer.domain);
        const std::vector<core::host_id> asked = relays_for(peers, peer.host, peer.domain);
        if (std::count(relays.begin(), relays.end(), peer.host) > 0) {
            BOOST_TEST(asked.empty());
        } else {
            BOOST_TEST(
                (std::is_permutation(asked.begin(), asked.end(), relays.begin(), relays.end())));
        }
    }
}

// Guards against a relay that all hosts of its domain prefer.
BOOST_AUTO_TEST_CASE(the_hosts_of_a_domain_are_divided_between_its_relays) {
    const std::vector<link_peer> peers = make_peers(150);
    std::map<core::host_id, int> hosts_of_relay;
    for (const link_peer& peer : peers) {
        const std::vector<core::host_id> asked = relays_for(peers, peer.host, peer.domain);
        if (!asked.empty()) {
            ++hosts_of_relay[asked.front()];
        }
    }
    BOOST_TEST(hosts_of_relay.size() == 2 * relays_per_group);
    for (const auto& [relay, count] : hosts_of_relay) {
        BOOST_TEST(count >= 18, relay.value); // Half of the mean
    }
}

// Guards against a list in which a failure domain has too few hosts.
BOOST_AUTO_TEST_CASE(a_domain_of_few_hosts_has_only_relays) {
    const std::vector<link_peer> peers{make_peer("one", "a"), make_peer("two", "a")};
    BOOST_TEST(relays_of_domain(peers, core::domain_id{"a"}).size() == 2U);
    BOOST_TEST(relays_for(peers, core::host_id{"one"}, core::domain_id{"a"}).empty());
    BOOST_TEST(relays_of_domain(peers, core::domain_id{"b"}).empty());
}

// Guards against a relay whose network link is filled by what it passes on (issue 48).
BOOST_AUTO_TEST_CASE(the_largest_hosts_of_a_domain_are_its_relays) {
    std::vector<link_peer> peers = make_peers(40);
    peers.at(4).weight = 4;
    peers.at(30).weight = 4;
    const std::vector<core::host_id> relays = relays_of_domain(peers, core::domain_id{"a"});
    BOOST_TEST((std::set<core::host_id>{relays.begin(), relays.end()} ==
                std::set<core::host_id>{peers.at(4).host, peers.at(30).host}));
}

// Guards against a region in which the number of hosts that read a configuration over its link to
// the registry grows with its failure domains, and whose relays are lost with one of them.
BOOST_AUTO_TEST_CASE(the_hosts_of_a_region_share_relays_in_several_domains) {
    std::vector<link_peer> peers = make_peers(40);
    for (std::size_t index = 0; index < peers.size(); ++index) {
        peers[index].region = index % 4 < 2 ? "near" : "far";
        peers[index].domain = core::domain_id{peers[index].region + std::to_string(index % 3)};
    }
    std::set<core::host_id> relays;
    for (const link_peer& peer : peers) {
        std::set<core::domain_id> domains;
        for (const core::host_id& relay : relays_of_domain(peers, peer.domain)) {
            const auto listed =
                std::find_if(peers.begin(), peers.end(),
                             [&relay](const auto& each) { return each.host == relay; });
            BOOST_TEST(listed->region == peer.region);
            domains.insert(listed->domain);
            relays.insert(relay);
        }
        BOOST_TEST(domains.size() == relays_per_group);
    }
    BOOST_TEST(relays.size() == 2 * relays_per_group);
}

// Guards against hosts that look for a standby in different orders, so that many of them serve, and
// against a host that asks itself.
BOOST_AUTO_TEST_CASE(hosts_ask_the_same_standbys) {
    const std::vector<link_peer> peers = make_peers(80);
    std::vector<core::host_id> common;
    for (const link_peer& peer : peers) {
        std::vector<core::host_id> standbys = standbys_for(peers, peer.host, peer.domain);
        BOOST_TEST(std::count(standbys.begin(), standbys.end(), peer.host) == 0);
        if (standbys.size() == standbys_per_group && peer.domain == core::domain_id{"a"}) {
            common = common.empty() ? standbys : common;
            BOOST_TEST((standbys == common));
        }
    }
    BOOST_TEST(common.size() == standbys_per_group);
}

// Guards against small hosts that must serve as many others as large ones.
BOOST_AUTO_TEST_CASE(hosts_are_chosen_in_proportion_to_their_weights) {
    int heavy_chosen = 0;
    constexpr int trials = 2000;
    for (int trial = 0; trial < trials; ++trial) {
        const std::string key = "key-" + std::to_string(trial);
        heavy_chosen += weighted_rendezvous_score(key, "heavy", 0.6) >
                                weighted_rendezvous_score(key, "light", 0.2)
                            ? 1
                            : 0;
    }
    // Three quarters, within about three standard deviations
    BOOST_TEST(heavy_chosen > trials * 72 / 100);
    BOOST_TEST(heavy_chosen < trials * 78 / 100);
}

// Guards against hosts of a lost relay that call the registry at the same moment.
BOOST_AUTO_TEST_CASE(hosts_spread_their_calls_after_the_loss_of_a_relay) {
    std::array<int, 10> per_tenth{};
    for (int index = 0; index < 300; ++index) {
        const std::chrono::milliseconds delay =
            relay_loss_delay(core::host_id{"front-" + std::to_string(index)});
        BOOST_REQUIRE((delay.count() >= 0 && delay < relay_loss_spread));
        ++per_tenth.at(static_cast<std::size_t>(delay * per_tenth.size() / relay_loss_spread));
    }
    // Twice the mean
    BOOST_TEST(*std::max_element(per_tenth.begin(), per_tenth.end()) <= 60);
}

} // namespace lovagemoor::proxy
