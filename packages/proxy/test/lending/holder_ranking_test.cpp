#include <lovagemoor/proxy/lending/holder_ranking.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

/// @return Hosts h0, h1, ... of failure domains a, b and c, in regions "west" (a, b) and "east".
std::vector<link_peer> make_peers(int count) {
    std::vector<link_peer> peers;
    for (int index = 0; index < count; ++index) {
        const std::string domain(1, static_cast<char>('a' + index % 3));
        peers.push_back({core::host_id{"h" + std::to_string(index)}, core::domain_id{domain},
                         domain == "c" ? "east" : "west", 1.0, "10.0.0.1:1"});
    }
    return peers;
}

holder_query query_for(const std::string& target, const std::string& organisation = {},
                       const std::string& borrower = "h0") {
    return {core::target_id{target}, core::domain_id{"a"}, "west",
            core::organisation_id{organisation}, core::host_id{borrower}};
}

std::set<core::host_id> holders_of(const holder_query& query, const std::vector<link_peer>& peers) {
    const std::vector<core::host_id> order = rank_holders(query, peers);
    return {order.begin(), order.begin() + static_cast<std::ptrdiff_t>(
                                               std::min(holders_per_target, order.size()))};
}

} // namespace

// Guards against hosts that choose different holders because their lists have different orders.
BOOST_AUTO_TEST_CASE(the_order_of_the_list_does_not_matter) {
    std::vector<link_peer> peers = make_peers(12);
    const std::vector<core::host_id> order = rank_holders(query_for("t"), peers);
    std::reverse(peers.begin(), peers.end());
    BOOST_TEST((rank_holders(query_for("t"), peers) == order));
    BOOST_TEST(order.size() == peers.size());
}

// Guards against moving the connections of many targets when one host leaves.
BOOST_AUTO_TEST_CASE(a_removed_host_moves_only_what_it_held) {
    const std::vector<link_peer> peers = make_peers(30);
    std::vector<link_peer> fewer = peers;
    const core::host_id removed = fewer[3].host;
    fewer.erase(fewer.begin() + 3);
    for (int index = 0; index < 300; ++index) {
        const holder_query query = query_for("t" + std::to_string(index));
        const std::set<core::host_id> before = holders_of(query, peers);
        const std::set<core::host_id> after = holders_of(query, fewer);
        std::set<core::host_id> kept = before;
        kept.erase(removed);
        BOOST_TEST(std::includes(after.begin(), after.end(), kept.begin(), kept.end()));
    }
}

// Guards against giving a host with a small share of a core as many connections as a large one.
BOOST_AUTO_TEST_CASE(the_share_of_targets_follows_the_weight) {
    std::vector<link_peer> peers;
    peers.reserve(20);
    for (int index = 0; index < 20; ++index) {
        peers.push_back({core::host_id{"h" + std::to_string(index)}, core::domain_id{"a"}, "west",
                         index < 10 ? 0.4 : 0.1, "10.0.0.1:1"});
    }
    std::map<bool, int> held;
    constexpr int targets = 4000;
    for (int index = 0; index < targets; ++index) {
        for (const core::host_id& holder :
             holders_of(query_for("t" + std::to_string(index)), peers)) {
            ++held[std::stoi(holder.value.substr(1)) < 10];
        }
    }
    // Four fifths of the weight, less what the draw without replacement moves to small hosts.
    const double share = static_cast<double>(held[true]) / (2.0 * targets);
    BOOST_TEST(share > 0.74);
    BOOST_TEST(share < 0.82);
}

namespace {

struct fallback_row {
    const char* name;
    /// Failure domains of the hosts h0, h1, ...; those of "c" are in another region.
    const char* domains;
    /// Hosts that must be the holders.
    std::set<std::string> holders;
};

std::ostream& operator<<(std::ostream& output, const fallback_row& row) {
    return output << row.name;
}

const std::vector<fallback_row> fallback_rows{
    {"two hosts in the domain", "abaccb", {"h0", "h2"}},
    {"one host in the domain, one in the region", "acbcc", {"h0", "h2"}},
    {"none in the domain", "cbbc", {"h1", "h2"}},
    {"none in the region", "cc", {"h0", "h1"}},
    {"a single host", "c", {"h0"}},
    {"no host", "", {}},
};

} // namespace

// Guards against traffic between regions while a closer host could hold the connections, and
// against a target without holders.
BOOST_DATA_TEST_CASE(holders_are_the_closest_hosts, boost::unit_test::data::make(fallback_rows),
                     row) {
    std::vector<link_peer> peers;
    for (const char domain : std::string{row.domains}) {
        peers.push_back({core::host_id{"h" + std::to_string(peers.size())},
                         core::domain_id{std::string(1, domain)}, domain == 'c' ? "east" : "west",
                         1.0, "10.0.0.1:1"});
    }
    std::set<std::string> found;
    for (const core::host_id& holder : holders_of(query_for("t"), peers)) {
        found.insert(holder.value);
    }
    BOOST_TEST((found == row.holders));
}

// Guards against all organisations, or all borrowers, using the same one of a target's holders, and
// against an organisation whose connections are spread over both.
BOOST_AUTO_TEST_CASE(organisations_and_borrowers_are_spread_over_the_holders) {
    const std::vector<link_peer> peers = make_peers(30);
    std::set<core::host_id> by_organisation;
    std::set<core::host_id> by_borrower;
    std::set<core::host_id> of_one;
    for (int index = 0; index < 40; ++index) {
        const std::string number = std::to_string(index);
        by_organisation.insert(rank_holders(query_for("t", "o" + number), peers).front());
        by_borrower.insert(rank_holders(query_for("t", "", "h" + number), peers).front());
        of_one.insert(rank_holders(query_for("t", "o1", "h" + number), peers).front());
    }
    BOOST_TEST(by_organisation.size() == holders_per_target);
    BOOST_TEST(by_borrower.size() == holders_per_target);
    BOOST_TEST(of_one.size() == 1U);
}

// Guards against a division by zero or an undefined order for hosts that announce no weight.
BOOST_AUTO_TEST_CASE(invalid_weights_are_ranked_last) {
    std::vector<link_peer> peers;
    for (const double weight : {0.0, -1.0, 1.0, 1.0}) {
        peers.push_back({core::host_id{"h" + std::to_string(peers.size())}, core::domain_id{"a"},
                         "west", weight, "10.0.0.1:1"});
    }
    int held_by_invalid = 0;
    for (int index = 0; index < 200; ++index) {
        for (const core::host_id& holder :
             holders_of(query_for("t" + std::to_string(index)), peers)) {
            held_by_invalid += holder.value < "h2" ? 1 : 0;
        }
    }
    BOOST_TEST(held_by_invalid < 10);
}

namespace {

struct activation_row {
    const char* name;
    holder_activation activation;
    bool expected;
};

std::ostream& operator<<(std::ostream& output, const activation_row& row) {
    return output << row.name;
}

const std::vector<activation_row> activation_rows{
    {"no link", {0, true, 10, 100}, false},
    {"enough connections", {100, false, 100, 100}, false},
    {"fewer connections than hosts", {117, false, 85, 117}, false},
    {"two connections for three hosts", {99, false, 66, 99}, true},
    {"one connection more", {99, false, 67, 99}, false},
    {"organisations", {3, true, 100, 3}, true},
    {"unknown limit", {100, false, 0, 100}, false},
    {"unknown hosts", {100, false, 10, 0}, false},
};

} // namespace

// Guards against a change for deployments in which every host can keep its connections.
BOOST_DATA_TEST_CASE(holders_are_used_where_connections_are_scarce,
                     boost::unit_test::data::make(activation_rows), row) {
    BOOST_TEST(uses_holders(row.activation) == row.expected);
}

} // namespace lovagemoor::proxy
