#include <lovagemoor/core/view_sync.hpp>

#include "fixed_seed.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::core {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr duration step = std::chrono::milliseconds{10};

host_record make_host(std::size_t index) {
    host_record host;
    host.id = host_id{std::to_string(index)};
    host.domain = domain_id{index % 2 == 0 ? "a" : "b"};
    host.peer_address = std::to_string(index);
    return host;
}

struct node {
    node(std::size_t index, std::size_t count)
        : view{make_host(index), 1}, random{seed + index}, subject{settings, view, ids, random} {
        for (std::size_t other = 0; other < count; ++other) {
            if (other != index) {
                view.set_member({make_host(other), 1, member_state::alive, 0});
            }
        }
    }

    core_settings settings;
    cluster_view view;
    id_source ids;
    std::mt19937_64 random;
    view_sync subject;
};

/// Simulates hosts, a platform that stores one configuration, and the messages between the hosts.
struct network {
    explicit network(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(std::make_unique<node>(index, count));
        }
    }

    void start_all() {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            action_list actions;
            nodes[index]->subject.start(now, actions);
            collect(index, actions);
        }
    }

    platform_result answer(const platform_call& request) {
        if (!is_platform_up) {
            return platform_unavailable{};
        }
        if (std::holds_alternative<read_view>(request)) {
            ++reads;
            return platform_view{stored};
        }
        return platform_ok{};
    }

    void collect(std::size_t from, const action_list& actions) {
        for (const action& value : actions) {
            if (const send_to_peer* sent = std::get_if<send_to_peer>(&value)) {
                const bool is_pull = std::holds_alternative<view_request>(sent->message);
                pulls += is_pull ? 1 : 0;
                if (delivers(sent->message)) {
                    queue.emplace_back(from, std::stoul(sent->address), sent->message);
                }
            } else if (const call_platform* call = std::get_if<call_platform>(&value)) {
                results.emplace_back(from, platform_finished{call->call, answer(call->request)});
            }
        }
    }

    void write(std::uint64_t version) {
        stored = {
            platform_record{static_cast<std::int64_t>(version), configuration{version, {}, {}}}};
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (nodes[index]->subject.is_watching()) {
                action_list actions;
                nodes[index]->subject.on_platform_changed(now, {stored.front()}, actions);
                collect(index, actions);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const peer_message& message) {
        view_sync& subject = nodes[to]->subject;
        const host_id sender = make_host(from).id;
        action_list actions;
        if (const view_push* push = std::get_if<view_push>(&message)) {
            subject.on_push(now, sender, *push, actions);
        } else if (const view_request* request = std::get_if<view_request>(&message)) {
            subject.on_request(now, sender, *request, actions);
        } else if (const view_reply* reply = std::get_if<view_reply>(&message)) {
            subject.on_reply(now, sender, *reply, actions);
        }
        collect(to, actions);
    }

    /// Gives each host the digest of one other host; called every 300 ms.
    void gossip() {
        ++rounds;
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            const std::size_t from = (index + rounds) % nodes.size();
            if (from != index) {
                action_list actions;
                gossip_header header;
                header.view_digest = nodes[from]->view.digest();
                nodes[index]->subject.on_gossip(now, make_host(from).id, header, actions);
                collect(index, actions);
            }
        }
    }

    void run(duration length) {
        for (const time_point end = now + length; now < end; now += step) {
            std::deque<std::tuple<std::size_t, std::size_t, peer_message>> arriving;
            arriving.swap(queue);
            for (const auto& [from, to, message] : arriving) {
                deliver(from, to, message);
            }
            std::deque<std::pair<std::size_t, platform_finished>> answers;
            answers.swap(results);
            for (const auto& [to, finished] : answers) {
                action_list actions;
                BOOST_TEST(nodes[to]->subject.on_platform_finished(now, finished, actions));
                collect(to, actions);
            }
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                if (nodes[index]->subject.next_wakeup() <= now) {
                    action_list actions;
                    nodes[index]->subject.on_timer(now, actions);
                    collect(index, actions);
                }
            }
            if (now.time_since_epoch() % std::chrono::milliseconds{300} == duration{0}) {
                gossip();
            }
        }
    }

    [[nodiscard]] std::size_t count_with(std::uint64_t version) const {
        std::size_t count = 0;
        for (const std::unique_ptr<node>& entry : nodes) {
            count += entry->view.current_configuration().version == version ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t watchers() const {
        std::size_t count = 0;
        for (const std::unique_ptr<node>& entry : nodes) {
            count += entry->subject.is_watching() ? 1 : 0;
        }
        return count;
    }

    time_point now{std::chrono::seconds{1}};
    std::vector<std::unique_ptr<node>> nodes;
    std::deque<std::tuple<std::size_t, std::size_t, peer_message>> queue;
    std::deque<std::pair<std::size_t, platform_finished>> results;
    std::vector<platform_record> stored;
    bool is_platform_up = true;
    std::size_t reads = 0;
    std::size_t pulls = 0;
    std::size_t rounds = 0;
    std::function<bool(const peer_message&)> delivers = [](const peer_message&) { return true; };
};

struct spread_case {
    const char* name;
    bool pushes_arrive;
    std::size_t reached_at_once;
};

std::ostream& operator<<(std::ostream& out, const spread_case& value) {
    return out << value.name;
}

/// A change that each host pushes once to three others reaches 94% of the hosts on average.
const std::vector<spread_case> spread_cases{
    {"pushes reach most hosts at once", true, 34},
    {"pulls repair lost pushes", false, 4},
};

} // namespace

BOOST_AUTO_TEST_SUITE(view_sync_test)

// Guards against a configuration that does not reach all hosts within 8 s.
BOOST_DATA_TEST_CASE(changes_reach_all_hosts, spread_cases, sample) {
    network test{40};
    test.write(1);
    test.start_all();
    test.run(std::chrono::seconds{10});
    BOOST_TEST(test.count_with(1) == 40U);
    test.delivers = [&sample](const peer_message& message) {
        return sample.pushes_arrive || !std::holds_alternative<view_push>(message);
    };
    test.write(2);
    test.run(std::chrono::milliseconds{200});
    BOOST_TEST(test.count_with(2) >= sample.reached_at_once);
    test.run(std::chrono::milliseconds{7800});
    BOOST_TEST(test.count_with(2) == 40U);
}

// Guards against a load on the platform that grows with the number of hosts, and against pulls when
// no record has changed.
BOOST_AUTO_TEST_CASE(few_hosts_watch_and_a_quiet_fleet_does_not_pull) {
    network test{40};
    test.write(1);
    test.start_all();
    test.run(std::chrono::seconds{10});
    BOOST_TEST(test.watchers() == 4U);
    BOOST_TEST(test.reads == 44U);
    test.run(std::chrono::seconds{60});
    BOOST_TEST(test.reads == 44U);
    BOOST_TEST(test.pulls == 0U);
    test.write(2);
    test.run(std::chrono::seconds{40});
    BOOST_TEST(test.reads == 44U);
    // Watchers read the view again 120 s after their last read.
    test.run(std::chrono::seconds{20});
    BOOST_TEST(test.reads == 48U);
    BOOST_TEST(test.pulls < 20U);
}

// Guards against hosts that get no configuration during an outage of the platform, and against
// watches that are not started again after it.
BOOST_AUTO_TEST_CASE(hosts_start_from_a_peer_while_the_platform_is_down) {
    network test{8};
    test.is_platform_up = false;
    test.nodes[5]->view.apply({3, configuration{3, {}, {}}});
    test.start_all();
    test.run(std::chrono::seconds{10});
    BOOST_TEST(test.count_with(3) == 8U);
    BOOST_TEST(test.watchers() == 0U);
    test.is_platform_up = true;
    test.run(std::chrono::seconds{12});
    BOOST_TEST(test.watchers() == 4U);
    test.write(4);
    test.run(std::chrono::seconds{1});
    BOOST_TEST(test.count_with(4) == 8U);
}

// Guards against missing a change that is made between the end of a watch and its restart.
BOOST_AUTO_TEST_CASE(view_is_read_again_after_a_lost_watch) {
    network test{1};
    test.write(1);
    test.start_all();
    test.run(std::chrono::seconds{10});
    action_list actions;
    test.stored = {platform_record{2, configuration{2, {}, {}}}};
    test.nodes[0]->subject.on_watch_lost(test.now, actions);
    BOOST_TEST(test.watchers() == 0U);
    test.run(std::chrono::seconds{2});
    BOOST_TEST(test.watchers() == 1U);
    BOOST_TEST(test.count_with(2) == 1U);
    BOOST_TEST(test.nodes[0]->subject.take_changed());
    BOOST_TEST(!test.nodes[0]->subject.take_changed());
}

// Guards against a configuration that reverts to an older version when versions arrive in any
// order, as from lagging hosts. A cache that applies every version that it receives would revert.
BOOST_AUTO_TEST_CASE(versions_never_decrease) {
    std::size_t naive_reverts = 0;
    const auto property = [&naive_reverts] {
        node subject{0, 1};
        const auto versions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 6));
        std::uint64_t highest = 0;
        std::uint64_t naive = 0;
        for (const int version : versions) {
            const auto number = static_cast<std::uint64_t>(version);
            const platform_record record{version, configuration{number, {}, {}}};
            action_list actions;
            if (version % 2 == 0) {
                subject.subject.on_push({}, host_id{"1"}, {0, {record}}, actions);
            } else {
                subject.subject.on_reply({}, host_id{"1"}, {{record}}, actions);
            }
            highest = std::max(highest, number);
            naive_reverts += number < naive ? 1 : 0;
            naive = number;
            RC_ASSERT(subject.view.current_configuration().version == highest);
        }
    };
    BOOST_TEST(holds_for_seed("versions_never_decrease", seed, 200, property));
    BOOST_TEST(naive_reverts > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
