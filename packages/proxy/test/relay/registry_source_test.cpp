#include <lovagemoor/proxy/relay/registry_source.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using purpose = registry_source::purpose;

/// @brief A host whose calls are recorded instead of made.
struct recorded_host {
    explicit recorded_host(bool relay) {
        std::vector<link_peer> peers;
        for (const char* name : {"h-1", "h-2", "h-3"}) {
            peers.push_back({core::host_id{name}, core::domain_id{"a"}, "", 1, "127.0.0.1:1"});
        }
        relay_settings settings;
        settings.threshold = 0;
        for (const link_peer& peer : peers) {
            if (relays_for(peers, peer.host, peer.domain).empty() == relay) {
                source.emplace(peer.host, peer.domain, "op/config",
                               std::set<std::string>{"op/config", "servers/"}, settings, hooks());
                break;
            }
        }
        source->on_peers(peers);
    }

    registry_source::hooks hooks() {
        registry_source::hooks result;
        result.now = [this] { return now; };
        result.current_era = [this] { return era; };
        result.accept_answer = [this](const std::optional<registry_era>& answered) {
            return answered == era;
        };
        result.list = [this](const list_items& made, std::function<void(const item_page&)> done) {
            lists.emplace_back(made, std::move(done));
        };
        result.watch = [this](const watch_items& made,
                              std::function<void(const item_changes&)> done) {
            watches.emplace_back(made, std::move(done));
            return [this, index = watches.size() - 1] {
                abandoned.push_back(watches[index].first.prefix);
                return true;
            };
        };
        result.send_request = [this](const core::host_id& relay, const relay_request& request) {
            requests.emplace_back(relay, request);
            return true;
        };
        result.on_settled = [](const core::host_id&) {};
        result.send_answer = [this](relay_service::requester, const relay_answer& answer) {
            answers.push_back(answer);
        };
        result.on_call = [](const registry_source::call&, purpose, bool) {};
        result.on_item_read = [](const registry_item&, purpose, bool) {};
        result.on_relay_failure = [this](const core::host_id&, const char* reason,
                                         std::chrono::milliseconds) { failure = reason; };
        return result;
    }

    /// @brief Lets the relay of an asking host give a proof.
    void prove() {
        source->watch({"op/config", 10, 0ms}, purpose::prove,
                      [](const item_changes&, const registry_source::origin&) {});
        answer_last(relay_refusal::none, item_changes{registry_status::done, {}, 10, era}, 100ms);
    }

    void answer_last(relay_refusal refusal, std::variant<item_page, item_changes> result,
                     std::chrono::milliseconds proof_age) {
        const auto [relay, request] = requests.back();
        source->on_answer(relay, {request.number, refusal, std::move(result), proof_age});
    }

    core::time_point now{100s};
    std::optional<registry_era> era = 2;
    std::vector<std::pair<list_items, std::function<void(const item_page&)>>> lists;
    std::vector<std::pair<watch_items, std::function<void(const item_changes&)>>> watches;
    std::vector<std::string> abandoned;
    std::vector<std::pair<core::host_id, relay_request>> requests;
    std::vector<relay_answer> answers;
    std::string failure;
    std::optional<registry_source> source;
};

struct answer_case {
    const char* name;
    relay_refusal refusal;
    registry_revision revision;
    std::optional<registry_era> era;
    std::chrono::milliseconds proof_age;
    /// The answer is passed on; otherwise, the registry is called.
    bool used;
    /// The relay is not asked again for a time.
    bool failed;

    friend std::ostream& operator<<(std::ostream& out, const answer_case& value) {
        return out << value.name;
    }
};

const std::array<answer_case, 9> answer_cases{{
    {"a later state", relay_refusal::none, 21, 2, 1500ms, true, false},
    {"the known state", relay_refusal::none, 20, 2, 0ms, true, false},
    {"a state before the known one", relay_refusal::none, 19, 2, 0ms, false, false},
    {"an earlier era", relay_refusal::none, 30, 1, 0ms, false, false},
    {"no era", relay_refusal::none, 30, std::nullopt, 0ms, false, false},
    {"an old proof", relay_refusal::none, 30, 2, 1501ms, false, true},
    {"items that the relay does not hold", relay_refusal::not_held, 0, 2, 0ms, false, false},
    {"no proof", relay_refusal::no_proof, 0, 2, 0ms, false, true},
    {"a host that is no relay", relay_refusal::not_relay, 0, 2, 0ms, false, true},
}};

} // namespace

// Guards against answers that take a host back to an earlier state or era, and against relays that
// are cut off from the registry and still used.
BOOST_DATA_TEST_CASE(answers_of_relays_are_used_only_if_they_are_not_older, answer_cases) {
    recorded_host host{false};
    // The host has read revision 20 itself.
    host.source->list({"servers/", {}, false}, purpose::follow,
                      [](const item_page&, const registry_source::origin&) {});
    host.lists.back().second({registry_status::done, {}, false, 20, 2});
    host.prove();
    std::optional<registry_revision> used;
    host.source->list({"servers/", {}, false}, purpose::follow,
                      [&used](const item_page& page, const registry_source::origin& origin) {
                          BOOST_TEST(origin.relayed);
                          used = page.revision;
                      });
    BOOST_TEST_REQUIRE(host.lists.size() == 1U);
    host.answer_last(sample.refusal,
                     item_page{registry_status::done, {}, false, sample.revision, sample.era},
                     sample.proof_age);
    BOOST_TEST(used.has_value() == sample.used);
    BOOST_TEST(!host.failure.empty() == sample.failed);
    host.now += relay_loss_spread;
    host.source->poll();
    BOOST_TEST(host.lists.size() == (sample.used ? 1U : 2U));
}

// Guards against calls that wait for a relay that does not answer, and against late answers that
// are used twice.
BOOST_AUTO_TEST_CASE(a_call_without_an_answer_is_repeated_at_the_registry) {
    recorded_host host{false};
    host.prove();
    int answered = 0;
    host.source->list(
        {"servers/", {}, false}, purpose::follow,
        [&answered](const item_page&, const registry_source::origin&) { ++answered; });
    host.now += 799ms;
    host.source->poll();
    BOOST_TEST(host.failure.empty());
    host.now += 1ms;
    host.source->poll();
    BOOST_TEST(host.failure == "timed_out");
    host.answer_last(relay_refusal::none, item_page{registry_status::done, {}, false, 20, 2}, 0ms);
    BOOST_TEST(answered == 0);
    host.now += relay_loss_spread;
    host.source->poll();
    BOOST_TEST_REQUIRE(host.lists.size() == 1U);
    host.lists.back().second({registry_status::done, {}, false, 20, 2});
    BOOST_TEST(answered == 1);
}

// Guards against promotions that wait for relays.
BOOST_AUTO_TEST_CASE(other_prefixes_are_read_from_the_registry) {
    recorded_host host{false};
    host.prove();
    host.source->watch({"lovagemoor/promotion/", 10, 25s}, purpose::follow,
                       [](const item_changes&, const registry_source::origin&) {});
    BOOST_TEST(host.watches.size() == 1U);
}

// Guards against a relay that answers without a proof, and against one that refuses the first
// request because nobody has asked before.
BOOST_AUTO_TEST_CASE(a_relay_answers_once_it_has_a_proof) {
    recorded_host host{true};
    host.source->list({"op/config", {}, false}, purpose::follow,
                      [](const item_page&, const registry_source::origin&) {});
    BOOST_TEST(!host.source->proof_interval(std::nullopt).has_value());
    const relay_request request{7, watch_items{"op/config", 10, 0ms}, 2};
    host.source->on_request(1, request);
    BOOST_TEST(host.answers.empty());
    BOOST_TEST(host.source->proof_interval(std::nullopt).has_value());
    host.now += 100ms;
    host.lists.front().second({registry_status::done, {{"op/config", "v", 5, 0}}, false, 12, 2});
    BOOST_TEST_REQUIRE(host.answers.size() == 1U);
    BOOST_TEST((host.answers.back().refusal == relay_refusal::none));
    // The age counts from the sending of the call.
    BOOST_TEST((host.answers.back().proof_age == 100ms));
    host.now += 1401ms;
    host.source->on_request(1, request);
    host.now += 500ms;
    host.source->poll();
    BOOST_TEST_REQUIRE(host.answers.size() == 2U);
    BOOST_TEST((host.answers.back().refusal == relay_refusal::no_proof));
}

// Guards against requesters that wait for a relay that was cut off from the registry.
BOOST_AUTO_TEST_CASE(a_relay_without_a_recent_proof_refuses_pending_watches) {
    recorded_host host{true};
    host.source->list({"op/config", {}, false}, purpose::follow,
                      [](const item_page&, const registry_source::origin&) {});
    host.lists.front().second({registry_status::done, {}, false, 12, 2});
    host.source->on_request(1, {7, watch_items{"op/config", 12, 25s}, 2});
    host.now += 1500ms;
    host.source->poll();
    BOOST_TEST(host.answers.empty());
    host.now += 1ms;
    host.source->poll();
    BOOST_TEST_REQUIRE(host.answers.size() == 1U);
    BOOST_TEST((host.answers.back().refusal == relay_refusal::no_proof));
}

// Guards against a relay that answers from before a return of the registry that the requester
// knows.
BOOST_AUTO_TEST_CASE(a_relay_of_an_earlier_era_refuses) {
    recorded_host host{true};
    host.source->on_request(1, {7, list_items{"op/config", {}, false}, 3});
    BOOST_TEST_REQUIRE(host.answers.size() == 1U);
    BOOST_TEST((host.answers.back().refusal == relay_refusal::outdated_era));
}

// Guards against a watch that stays at the registry for its whole wait though a relay serves, so
// that a change reaches the host past its relays (CONFIG, issue 54).
BOOST_AUTO_TEST_CASE(a_watch_moves_to_a_relay_that_has_given_a_proof) {
    recorded_host host{false};
    host.source->watch({"servers/", 10, 25s}, purpose::follow,
                       [](const item_changes&, const registry_source::origin&) {});
    BOOST_TEST_REQUIRE(host.watches.size() == 1U);
    host.prove();
    BOOST_TEST((host.abandoned == std::vector<std::string>{"servers/"}));
    BOOST_TEST_REQUIRE(host.requests.size() == 2U);
    BOOST_TEST(host.requests.back().second.prefix() == "servers/");
}

// Guards against a watch that its follower has given up and that still returns each change.
BOOST_AUTO_TEST_CASE(a_watch_that_is_replaced_is_abandoned) {
    recorded_host host{false};
    for (int made = 0; made < 2; ++made) {
        host.source->watch({"servers/", 10, 25s}, purpose::follow,
                           [](const item_changes&, const registry_source::origin&) {});
    }
    BOOST_TEST((host.abandoned == std::vector<std::string>{"servers/"}));
}

// Guards against a large document that the hosts of a lost relay read from the registry at once,
// and against one that waits for relays that do not answer.
BOOST_AUTO_TEST_CASE(a_large_document_waits_for_a_relay_for_a_bounded_time) {
    recorded_host host{false};
    host.prove();
    host.source->watch({"op/config", 10, 25s}, purpose::follow,
                       [](const item_changes&, const registry_source::origin&) {});
    host.source->on_relay_lost(host.requests.back().first);
    host.now += relay_settings{}.document_delay_min - 1ms;
    host.source->poll();
    BOOST_TEST(host.watches.empty());
    BOOST_TEST((host.source->proof_interval(std::nullopt) == 0ms));
    host.now += relay_settings{}.document_delay_max - relay_settings{}.document_delay_min + 1ms;
    host.source->poll();
    BOOST_TEST(host.watches.size() == 1U);
}

// Guards against hosts without a relay whose link to their relays is lost: the next one serves.
BOOST_AUTO_TEST_CASE(a_host_that_is_asked_serves_as_a_relay_for_a_time) {
    recorded_host host{false};
    host.source->list({"op/config", {}, false}, purpose::follow,
                      [](const item_page&, const registry_source::origin&) {});
    host.prove();
    host.source->on_request(1, {7, list_items{"op/config", {}, false}, 2});
    BOOST_TEST(host.source->selector().is_relay());
    BOOST_TEST_REQUIRE(!host.lists.empty());
    host.lists.back().second({registry_status::done, {{"op/config", "v", 5, 0}}, false, 12, 2});
    BOOST_TEST_REQUIRE(host.answers.size() == 1U);
    BOOST_TEST((host.answers.back().refusal == relay_refusal::none));
    host.now += relay_settings{}.standby_retention;
    host.source->poll();
    BOOST_TEST(!host.source->selector().is_relay());
}

} // namespace lovagemoor::proxy
