#include "relay_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Hosts that follow the registry through relays that fail.

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using model::configuration_key;
using model::model_host;
using model::model_link;
using model::model_store;
using model::schedule;
using std::chrono::milliseconds;

struct run_result {
    bool settled = false;
    core::duration settled_after{0};
    std::string violation;
    int registry_calls_of_askers = 0;
    int relayed_calls = 0;
};

/// @brief Disturbs relays, and now and then the registry.
void disturb(model_store& store, std::vector<std::unique_ptr<model_host>>& hosts, model_link& link,
             schedule& tasks) {
    model_host& victim =
        *hosts[static_cast<std::size_t>(store.draw(0, static_cast<int>(hosts.size()) - 1))];
    const milliseconds duration{store.draw(100, 4000)};
    switch (store.draw(0, 6)) {
    case 0:
        victim.kill(duration);
        break;
    case 1:
        victim.freeze(duration, true);
        break;
    case 2:
        victim.freeze(duration, false);
        break;
    case 3:
        victim.cut_off = true;
        break;
    case 4:
        link.latency_max = milliseconds{store.draw(5, 1500)};
        break;
    case 5:
        link.cut(static_cast<std::size_t>(store.draw(0, static_cast<int>(hosts.size()) - 1)));
        break;
    default:
        if (!store.away) {
            store.away = true;
            tasks.after(milliseconds{store.draw(50, 1500)}, [&store] {
                store.away = false;
                store.restore(milliseconds{store.draw(0, 10000)});
            });
        }
        break;
    }
}

void write_something(model_store& store, int& written) {
    if (store.draw(0, 1) == 0) {
        store.write(configuration_key, std::to_string(++written));
    } else if (store.draw(0, 2) == 0) {
        store.remove("p/" + std::to_string(store.draw(0, 6)));
    } else {
        store.write("p/" + std::to_string(store.draw(0, 6)), std::to_string(written));
    }
}

/// @return True if all hosts hold what the registry holds.
bool all_agree(const std::vector<std::unique_ptr<model_host>>& hosts, const model_store& store) {
    std::map<std::string, std::string> stored;
    for (const auto& [key, item] : store.items()) {
        stored[key] = item.value;
    }
    return std::all_of(hosts.begin(), hosts.end(),
                       [&stored](const auto& host) { return host->view() == stored; });
}

void collect(const std::vector<std::unique_ptr<model_host>>& hosts, run_result& result) {
    for (const std::unique_ptr<model_host>& host : hosts) {
        if (!host->violation.empty()) {
            result.violation = host->id().value + ": " + host->violation;
        }
        result.relayed_calls += host->relayed_calls;
        if (!host->is_relay()) {
            result.registry_calls_of_askers += host->late_registry_calls;
        }
    }
}

run_result play(std::uint64_t seed, bool disturbed) {
    schedule tasks;
    model_store store{tasks, seed};
    store.stale_by = milliseconds{store.draw(0, 900)};
    // The configuration, which proofs list, is a single item in a deployment.
    store.page_size = 10;
    model_link link{tasks, store};
    std::vector<link_peer> peers;
    for (const char* name : {"h-1", "h-2", "h-3", "h-4"}) {
        peers.push_back({core::host_id{name}, core::domain_id{"a"}, "", 1, "127.0.0.1:1"});
    }
    int written = 0;
    store.write(configuration_key, std::to_string(++written));
    // Every second play treats the configuration as a large document.
    const std::size_t large_bytes = seed % 2 == 0 ? 0 : relay_settings{}.large_document_bytes;
    std::vector<std::unique_ptr<model_host>> hosts;
    for (std::size_t index = 0; index < peers.size(); ++index) {
        hosts.push_back(
            std::make_unique<model_host>(tasks, store, link, index, peers, large_bytes));
        link.add(*hosts.back());
    }
    for (const std::unique_ptr<model_host>& host : hosts) {
        host->begin();
    }
    const core::time_point start = tasks.now();
    const core::time_point disturbed_until = start + milliseconds{store.draw(4000, 14000)};
    const core::time_point changes_until = disturbed_until + milliseconds{store.draw(-3000, 6000)};
    core::time_point next_fault = start + milliseconds{store.draw(100, 3000)};
    core::time_point next_change = start;
    core::time_point last_change = start;
    const int changes_apart = store.draw(200, 3000);
    bool calm = !disturbed;
    std::optional<core::time_point> agrees_since;
    run_result result;
    for (core::time_point now = start; now < disturbed_until + 25s; now += 50ms) {
        tasks.run_until(now);
        // Frozen and killed hosts return within 4 s, which are a part of the disruption.
        if (!calm && now >= disturbed_until + 4s && !store.away) {
            calm = true;
            link.latency_max = 5ms;
            for (const std::unique_ptr<model_host>& host : hosts) {
                host->cut_off = false;
            }
        }
        if (disturbed && now < disturbed_until && now >= next_fault) {
            disturb(store, hosts, link, tasks);
            next_fault = now + milliseconds{store.draw(100, 3000)};
        }
        if (!store.away && now < changes_until && now >= next_change) {
            write_something(store, written);
            last_change = now;
            next_change = now + milliseconds{store.draw(100, changes_apart)};
        }
        const bool agrees = all_agree(hosts, store);
        if (!agrees) {
            agrees_since.reset();
        } else if (!agrees_since.has_value()) {
            agrees_since = now;
        }
        if (!calm) {
            last_change = now;
        }
    }
    collect(hosts, result);
    result.settled = agrees_since.has_value();
    if (result.settled) {
        result.settled_after = std::max(core::duration{0}, *agrees_since - last_change);
    }
    return result;
}

} // namespace

// Guards against a host that keeps an old state, takes a state back or trusts a proof that is older
// than it says when its relays die, freeze, lag, are cut off from the registry or from the link, or
// when the registry comes back from a copy. The bound is that of a configuration.
BOOST_AUTO_TEST_CASE(hosts_hold_what_the_registry_holds_when_relays_fail) {
    core::duration longest{0};
    std::uint64_t longest_seed = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        const run_result result = play(seed, true);
        BOOST_TEST(result.violation.empty(), "seed " << seed << ": " << result.violation);
        BOOST_TEST((result.settled && result.settled_after <= 5000ms),
                   "seed " << seed << (result.settled ? ": settled late" : ": did not settle"));
        if (result.settled_after > longest) {
            longest = result.settled_after;
            longest_seed = seed;
        }
    }
    BOOST_TEST_MESSAGE("longest " << std::chrono::duration_cast<milliseconds>(longest).count()
                                  << " ms, seed " << longest_seed);
}

// Guards against hosts that call the registry themselves though their relays serve: their first
// calls are made before a relay has given a proof.
BOOST_AUTO_TEST_CASE(only_relays_call_the_registry_on_a_quiet_day) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const run_result result = play(seed, false);
        BOOST_TEST(result.violation.empty(), "seed " << seed << ": " << result.violation);
        BOOST_TEST_REQUIRE(result.settled);
        BOOST_TEST(result.relayed_calls > 0);
        BOOST_TEST(result.registry_calls_of_askers == 0, "seed " << seed);
    }
}

} // namespace lovagemoor::proxy
