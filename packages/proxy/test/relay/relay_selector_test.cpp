#include <lovagemoor/proxy/relay/relay_selector.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;

constexpr core::time_point start{100s};

std::vector<link_peer> make_peers(std::size_t count) {
    std::vector<link_peer> peers;
    for (std::size_t index = 0; index < count; ++index) {
        peers.push_back({core::host_id{"front-" + std::to_string(index)}, core::domain_id{"a"}, "",
                         1, "127.0.0.1:1"});
    }
    return peers;
}

/// @return A selector of a host that is not a relay.
relay_selector make_asker(const std::vector<link_peer>& peers) {
    for (const link_peer& peer : peers) {
        relay_selector selector{peer.host, peer.domain};
        selector.on_peers(peers);
        if (!selector.is_relay()) {
            return selector;
        }
    }
    BOOST_FAIL("all hosts are relays");
    return relay_selector{{}, {}};
}

struct threshold_case {
    std::size_t hosts;
    bool relayed;

    friend std::ostream& operator<<(std::ostream& out, const threshold_case& value) {
        return out << value.hosts << " hosts";
    }
};

const std::array<threshold_case, 3> threshold_cases{{{2, false}, {30, false}, {31, true}}};

} // namespace

// Guards against relays in small deployments, where they would only add delay.
BOOST_DATA_TEST_CASE(calls_are_relayed_above_the_threshold, threshold_cases) {
    const std::vector<link_peer> peers = make_peers(sample.hosts);
    std::size_t relays = 0;
    std::size_t askers = 0;
    for (const link_peer& peer : peers) {
        relay_selector selector{peer.host, peer.domain};
        selector.on_peers(peers);
        relays += selector.is_relay() ? 1 : 0;
        askers += selector.relay_for_proof(start).has_value() ? 1 : 0;
    }
    BOOST_TEST(relays == (sample.relayed ? relays_per_group : 0));
    BOOST_TEST(askers == (sample.relayed ? sample.hosts - relays_per_group : 0));
}

// Guards against a host that is not in the list yet and becomes a relay for nobody.
BOOST_AUTO_TEST_CASE(a_host_that_is_not_listed_calls_the_registry) {
    relay_selector selector{core::host_id{"unlisted"}, core::domain_id{"b"}};
    selector.on_peers(make_peers(40));
    BOOST_TEST(!selector.is_relay());
    BOOST_TEST(!selector.relay_for_proof(start).has_value());
}

// Guards against calls that wait for a relay that has shown no sign of life.
BOOST_AUTO_TEST_CASE(a_relay_is_used_once_it_has_given_a_proof) {
    relay_selector selector = make_asker(make_peers(40));
    BOOST_TEST(!selector.relay(start).has_value());
    const core::host_id first = selector.relay_for_proof(start).value();
    selector.on_proof(first);
    BOOST_TEST((selector.relay(start) == first));
}

// Guards against a host that keeps asking a relay that failed, and against one that never returns.
BOOST_AUTO_TEST_CASE(a_failed_relay_is_avoided_for_a_time_that_doubles) {
    relay_selector selector = make_asker(make_peers(40));
    const core::host_id first = selector.relay_for_proof(start).value();
    selector.on_proof(first);
    core::time_point now = start;
    for (const std::chrono::milliseconds avoided : {2000ms, 4000ms, 8000ms, 16000ms, 16000ms}) {
        selector.on_failure(now, first);
        // Further calls that were under way fail, too.
        selector.on_failure(now + 10ms, first);
        BOOST_TEST(!selector.relay(now).has_value());
        BOOST_TEST((selector.relay_for_proof(now + avoided - 1ms) != first));
        now += avoided;
        BOOST_TEST((selector.relay_for_proof(now) == first));
        BOOST_TEST(!selector.relay(now).has_value());
    }
    selector.on_proof(first);
    BOOST_TEST((selector.relay(now) == first));
    selector.on_failure(now, first);
    BOOST_TEST((selector.relay_for_proof(now + 2000ms) == first));
}

// Guards against a burst of calls at the registry when a relay is lost, and against a delay of
// calls when no relay served before.
BOOST_AUTO_TEST_CASE(calls_after_the_loss_of_a_serving_relay_are_spread) {
    relay_selector selector = make_asker(make_peers(40));
    const core::host_id first = selector.relay_for_proof(start).value();
    selector.on_failure(start, first);
    BOOST_TEST(selector.direct_delay(start).count() == 0);
    selector.on_proof(first);
    selector.on_failure(start + 2000ms, first);
    BOOST_TEST((selector.direct_delay(start + 2000ms) < relay_loss_spread));
    BOOST_TEST(selector.direct_delay(start + 2000ms + relay_loss_spread).count() == 0);
}

// Guards against failures that are forgotten when the list of hosts is read again.
BOOST_AUTO_TEST_CASE(a_new_list_keeps_what_is_known_of_relays) {
    const std::vector<link_peer> peers = make_peers(40);
    relay_selector selector = make_asker(peers);
    const core::host_id first = selector.relay_for_proof(start).value();
    selector.on_failure(start, first);
    selector.on_peers(peers);
    BOOST_TEST((selector.relay_for_proof(start) != first));
    selector.on_peers({});
    BOOST_TEST(!selector.relay_for_proof(start).has_value());
    BOOST_TEST(!selector.is_relay());
}

} // namespace lovagemoor::proxy
