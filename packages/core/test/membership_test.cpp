#include <lovagemoor/core/membership.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace lovagemoor::core {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr duration step = std::chrono::milliseconds{10};

host_record make_host(std::size_t index) {
    host_record host;
    host.id = host_id{"h" + std::to_string(index)};
    host.domain = domain_id{index % 2 == 0 ? "a" : "b"};
    host.peer_address = "tcp://127.0.0.1:" + std::to_string(7000 + index);
    return host;
}

struct node {
    explicit node(std::size_t index, incarnation_number incarnation = 1U << refutation_bits)
        : view{make_host(index), incarnation},
          random{seed + index},
          subject{settings, view, random} {}

    core_settings settings;
    cluster_view view;
    std::mt19937_64 random;
    membership subject;
    std::vector<host_id> lost;
};

/// Simulates hosts whose messages to each other arrive one step after they were sent.
struct network {
    explicit network(std::size_t count) {
        std::cout << "membership seed=" << seed << '\n';
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(std::make_unique<node>(index));
        }
    }

    void join_all() {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            join(index);
        }
    }

    void join(std::size_t index) {
        action_list actions;
        nodes[index]->subject.join(now, {make_host(0), make_host(1)}, actions);
        collect(index, actions);
    }

    void collect(std::size_t from, const action_list& actions) {
        for (const action& value : actions) {
            const send_to_peer& sent = std::get<send_to_peer>(value);
            const std::size_t to = std::stoul(sent.address.substr(sent.address.size() - 4)) - 7000;
            if (delivers(from, to)) {
                queue.emplace_back(from, to, sent.message);
            }
        }
    }

    void deliver(std::size_t from, std::size_t to, const peer_message& message) {
        membership& subject = nodes[to]->subject;
        const host_id sender = make_host(from).id;
        action_list actions;
        if (const membership_ping* ping = std::get_if<membership_ping>(&message)) {
            subject.on_ping(now, sender, *ping, actions);
        } else if (const membership_ack* ack = std::get_if<membership_ack>(&message)) {
            subject.on_ack(now, sender, *ack, actions);
        } else if (const auto* request = std::get_if<membership_ping_request>(&message)) {
            subject.on_ping_request(now, sender, *request, actions);
        } else if (const membership_sync* sync = std::get_if<membership_sync>(&message)) {
            subject.on_sync(now, sender, *sync, actions);
        }
        collect(to, actions);
    }

    void run(duration length) {
        for (const time_point end = now + length; now < end; now += step) {
            std::deque<std::tuple<std::size_t, std::size_t, peer_message>> arriving;
            arriving.swap(queue);
            for (const auto& [from, to, message] : arriving) {
                deliver(from, to, message);
            }
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                node& current = *nodes[index];
                if (runs(index) && current.subject.next_wakeup() <= now) {
                    action_list actions;
                    current.subject.on_timer(now, actions);
                    collect(index, actions);
                }
                for (const host_id& host : current.subject.take_lost_hosts()) {
                    current.lost.push_back(host);
                }
            }
        }
    }

    [[nodiscard]] std::size_t live(std::size_t index) const {
        return nodes[index]->view.live_hosts().size();
    }

    [[nodiscard]] std::size_t deaths() const {
        std::size_t count = 0;
        for (const std::unique_ptr<node>& entry : nodes) {
            count += entry->lost.size();
        }
        return count;
    }

    time_point now{std::chrono::seconds{1}};
    std::vector<std::unique_ptr<node>> nodes;
    std::deque<std::tuple<std::size_t, std::size_t, peer_message>> queue;
    std::function<bool(std::size_t, std::size_t)> delivers = [](std::size_t, std::size_t) {
        return true;
    };
    std::function<bool(std::size_t)> runs = [](std::size_t) { return true; };
};

struct merge_case {
    const char* name;
    incarnation_number incarnation;
    member_state state;
    member_state expected;
};

std::ostream& operator<<(std::ostream& out, const merge_case& value) {
    return out << value.name;
}

/// In each case the receiver regards the member as alive with incarnation 5.
const std::vector<merge_case> merge_cases{
    {"older suspicion is ignored", 4, member_state::suspect, member_state::alive},
    {"suspicion of this incarnation", 5, member_state::suspect, member_state::suspect},
    {"death only makes suspect", 5, member_state::dead, member_state::suspect},
    {"older death is ignored", 4, member_state::dead, member_state::alive},
    {"leaving", 6, member_state::leaving, member_state::leaving},
    {"alive again", 6, member_state::alive, member_state::alive},
};

member_update make_update(std::size_t index, incarnation_number incarnation, member_state state) {
    return {make_host(index), incarnation, state, 0};
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_test)

// Guards against delayed gossip that replaces a newer state.
BOOST_DATA_TEST_CASE(gossip_is_merged_by_incarnation, merge_cases, sample) {
    node receiver{0};
    action_list actions;
    const time_point now{std::chrono::seconds{1}};
    receiver.subject.join(now, {}, actions);
    const member_update sender = make_update(1, 1, member_state::alive);
    receiver.subject.on_ping(now, sender.host.id,
                             {1, {sender, {make_update(2, 5, member_state::alive)}, 0}}, actions);
    receiver.subject.on_ping(now, sender.host.id,
                             {2, {sender, {make_update(2, sample.incarnation, sample.state)}, 0}},
                             actions);
    BOOST_TEST((receiver.view.find_member(make_host(2).id)->state == sample.expected));
}

// Guards against a host that never joins because its seeds started after it.
BOOST_AUTO_TEST_CASE(hosts_join_although_seeds_are_unreachable_at_first) {
    network test{6};
    test.delivers = [](std::size_t, std::size_t to) { return to > 1; };
    test.join_all();
    test.run(std::chrono::seconds{3});
    BOOST_TEST(test.live(5) == 1U);
    test.delivers = [](std::size_t, std::size_t) { return true; };
    test.run(std::chrono::seconds{5});
    for (std::size_t index = 0; index < 6; ++index) {
        BOOST_TEST(test.live(index) == 6U);
    }
}

// Guards against a dead host that still owns targets, and against reporting its loss twice.
BOOST_AUTO_TEST_CASE(unresponsive_host_is_declared_dead_once) {
    network test{8};
    test.join_all();
    test.run(std::chrono::seconds{3});
    test.delivers = [](std::size_t from, std::size_t to) { return from != 3 && to != 3; };
    test.runs = [](std::size_t index) { return index != 3; };
    test.run(std::chrono::seconds{5});
    for (std::size_t index = 0; index < 8; ++index) {
        if (index != 3) {
            BOOST_TEST(test.live(index) == 7U);
            BOOST_TEST((test.nodes[index]->lost == std::vector{make_host(3).id}));
        }
    }
}

// Guards against declaring a running host dead on lossy links. With 10% of the messages lost, a
// detector without indirect pings and refutation would do so within seconds.
BOOST_AUTO_TEST_CASE(lossy_links_cause_no_deaths) {
    network test{8};
    std::mt19937_64 random{seed};
    std::size_t lost_messages = 0;
    test.join_all();
    test.run(std::chrono::seconds{3});
    test.delivers = [&](std::size_t, std::size_t) {
        const bool is_lost = random() % 10 == 0;
        lost_messages += is_lost ? 1 : 0;
        return !is_lost;
    };
    test.run(std::chrono::seconds{60});
    BOOST_TEST(lost_messages > 200U);
    BOOST_TEST(test.deaths() == 0U);
    BOOST_TEST(test.live(0) == 8U);
}

// Guards against two halves of the fleet that do not merge after a partition, and against declaring
// hosts of the own half dead when the member lists are merged.
BOOST_AUTO_TEST_CASE(partition_heals) {
    network test{8};
    test.join_all();
    test.run(std::chrono::seconds{3});
    test.delivers = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
    test.run(std::chrono::seconds{30});
    for (std::size_t index = 0; index < 8; ++index) {
        BOOST_TEST(test.live(index) == 4U);
    }
    const std::size_t deaths = test.deaths();
    test.delivers = [](std::size_t, std::size_t) { return true; };
    test.run(std::chrono::seconds{10});
    for (std::size_t index = 0; index < 8; ++index) {
        BOOST_TEST(test.live(index) == 8U);
    }
    BOOST_TEST(test.deaths() == deaths);
}

// Guards against a host that resumes after a pause of its process and declares all others dead,
// since it has received no answer in the meantime.
BOOST_AUTO_TEST_CASE(paused_host_declares_no_member_dead) {
    network test{6};
    test.join_all();
    test.run(std::chrono::seconds{3});
    test.runs = [](std::size_t index) { return index != 2; };
    test.delivers = [](std::size_t from, std::size_t to) { return from != 2 && to != 2; };
    test.run(std::chrono::seconds{10});
    BOOST_TEST(test.live(0) == 5U);
    test.runs = [](std::size_t) { return true; };
    test.delivers = [](std::size_t, std::size_t) { return true; };
    test.run(std::chrono::seconds{10});
    BOOST_TEST(test.nodes[2]->lost.empty());
    for (std::size_t index = 0; index < 6; ++index) {
        BOOST_TEST(test.live(index) == 6U);
    }
}

// Guards against requests that wait for a process which was restarted before its failure was
// detected.
BOOST_AUTO_TEST_CASE(restarted_host_is_lost) {
    network test{4};
    test.join_all();
    test.run(std::chrono::seconds{3});
    test.nodes[3] = std::make_unique<node>(3, 2U << refutation_bits);
    test.join(3);
    test.run(std::chrono::seconds{3});
    BOOST_TEST((test.nodes[0]->lost == std::vector{make_host(3).id}));
    BOOST_TEST(test.live(0) == 4U);
}

// Guards against a restarted host that never owns targets again because the platform still listed
// its earlier process as leaving when the host joined.
BOOST_AUTO_TEST_CASE(listed_mark_of_an_earlier_process_is_cleared) {
    network test{4};
    test.join_all();
    test.run(std::chrono::seconds{3});
    host_record listed = make_host(3);
    listed.leaving = true;
    for (const std::unique_ptr<node>& entry : test.nodes) {
        entry->view.apply({5, listed});
    }
    test.nodes[3] = std::make_unique<node>(3, 2U << refutation_bits);
    test.join(3);
    test.run(std::chrono::seconds{3});
    BOOST_TEST(test.live(0) == 3U);
    listed.leaving = false;
    test.nodes[0]->view.apply({6, listed});
    BOOST_TEST(test.live(0) == 4U);
}

// Guards against assigning targets to a host that is about to stop.
BOOST_AUTO_TEST_CASE(leaving_is_announced) {
    network test{6};
    test.join_all();
    test.run(std::chrono::seconds{3});
    action_list actions;
    test.nodes[4]->subject.leave(test.now, actions);
    test.collect(4, actions);
    test.run(std::chrono::seconds{2});
    for (std::size_t index = 0; index < 6; ++index) {
        BOOST_TEST(test.live(index) == 5U);
        BOOST_TEST(test.nodes[index]->lost.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
