#include <lovagemoor/core/promoter.hpp>

#include "fixed_seed.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::core {

namespace {

constexpr duration step = std::chrono::milliseconds{5};
const group_id group{"g"};

target_id target(std::size_t index) {
    return target_id{"t" + std::to_string(index)};
}

host_record make_host(std::size_t index) {
    host_record host;
    host.id = host_id{std::to_string(index)};
    host.domain = domain_id{std::to_string(index)};
    host.peer_address = std::to_string(index);
    return host;
}

struct node {
    node(std::size_t index, std::size_t count)
        : view{make_host(index), 1}, subject{settings, view, ids, [this](const group_id&) {
                                                 return is_suspected;
                                             }} {
        for (std::size_t other = 0; other < count; ++other) {
            if (other != index) {
                view.set_member({make_host(other), 1, member_state::alive, 0});
            }
        }
    }

    core_settings settings;
    cluster_view view;
    id_source ids;
    bool is_suspected = true;
    promoter subject;
};

struct standin_target {
    term_number promised = 4;
    term_number last_term = 4;
    log_position position = 100;
    bool is_reachable = true;
};

enum class fault : std::uint8_t { none, unavailable, answer_lost, request_lost };

/// Simulates candidate hosts, three targets and the platform's term record. Each answer arrives one
/// step after its call.
struct simulation {
    explicit simulation(std::size_t count, bool has_record = true) : targets(3) {
        group_record listed{group, {}};
        for (std::size_t index = 0; index < 3; ++index) {
            listed.targets.push_back(
                {target(index), domain_id{std::to_string(index)}, "127.0.0.1", 1, false});
        }
        if (has_record) {
            record = platform_record{
                7, term_record{group, 4, term_phase::serving, {}, target(0), {{4, 1}}}};
        }
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(std::make_unique<node>(index, count));
            list(index, listed);
        }
    }

    void list(std::size_t index, const group_record& listed) {
        nodes[index]->view.apply({++listed_revision, listed});
        if (record.has_value()) {
            nodes[index]->view.apply(*record);
        }
    }

    control_result call(std::size_t index, const control_call& request) {
        standin_target& called = targets[index];
        if (!called.is_reachable) {
            return control_unreachable{};
        }
        if (const fence_call* fence = std::get_if<fence_call>(&request)) {
            if (fence->term < called.promised) {
                return control_error{sqlstate::term_superseded};
            }
            called.promised = fence->term;
            return promise_reply{called.promised, called.last_term, called.position};
        }
        if (const promote_call* promote = std::get_if<promote_call>(&request)) {
            if (promote->term != called.promised) {
                return control_error{sqlstate::term_superseded};
            }
            promoted.emplace(promote->term, index);
            chosen_log_rank = {called.last_term, called.position};
            called.last_term = promote->term;
            return promote_reply{promote->term, ++called.position};
        }
        return status_reply{called.promised, called.last_term, called.position, false, {}, {}};
    }

    platform_result swap(const swap_term& request) {
        const std::int64_t revision = record.has_value() ? record->revision : 0;
        if (request.expected_revision != revision) {
            return platform_swapped{false, record};
        }
        record = platform_record{revision + 1, request.value};
        return platform_swapped{true, record};
    }

    platform_result call_platform(const core::platform_call& request) {
        const fault injected = platform_fault(++platform_calls);
        if (injected == fault::unavailable) {
            return platform_unavailable{};
        }
        if (injected == fault::request_lost) {
            return platform_unknown{};
        }
        const swap_term* swapped = std::get_if<swap_term>(&request);
        const platform_result result =
            swapped != nullptr ? swap(*swapped) : platform_result{platform_read{record}};
        return injected == fault::answer_lost ? platform_result{platform_unknown{}} : result;
    }

    void collect(std::size_t from, const action_list& actions) {
        for (const action& value : actions) {
            if (const call_control* control = std::get_if<call_control>(&value)) {
                const std::size_t index = control->target.id == target(0)   ? 0
                                          : control->target.id == target(1) ? 1
                                                                            : 2;
                control_result result = call(index, control->request);
                if (loses_control_answer()) {
                    result = control_unreachable{};
                }
                pending.emplace_back(from,
                                     control_finished{control->call, control->target.id, result});
            } else if (const auto* platform = std::get_if<core::call_platform>(&value)) {
                pending.emplace_back(
                    from, platform_finished{platform->call, call_platform(platform->request)});
            } else if (const log_event* logged = std::get_if<log_event>(&value)) {
                log.push_back(logged->name);
            }
        }
    }

    void suspect(std::size_t index) {
        action_list actions;
        nodes[index]->subject.suspect(now, group, actions);
        collect(index, actions);
    }

    void run(duration length) {
        for (const time_point end = now + length; now < end; now += step) {
            std::vector<std::pair<std::size_t, event>> arriving;
            arriving.swap(pending);
            for (const auto& [to, value] : arriving) {
                action_list actions;
                promoter& subject = nodes[to]->subject;
                if (const control_finished* control = std::get_if<control_finished>(&value)) {
                    BOOST_TEST(subject.on_control_finished(now, *control, actions));
                } else {
                    BOOST_TEST(subject.on_platform_finished(now, std::get<platform_finished>(value),
                                                            actions));
                }
                collect(to, actions);
            }
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                action_list actions;
                if (nodes[index]->subject.next_wakeup() <= now) {
                    nodes[index]->subject.on_timer(now, actions);
                }
                collect(index, actions);
                for (const platform_record& read : nodes[index]->subject.take_new_records()) {
                    for (const std::unique_ptr<node>& other : nodes) {
                        other->view.apply(read);
                    }
                }
            }
        }
    }

    [[nodiscard]] term_record stored() const { return std::get<term_record>(record->value); }

    [[nodiscard]] bool has_one_primary_per_term() const {
        std::set<term_number> terms;
        return std::all_of(promoted.begin(), promoted.end(), [&terms](const auto& entry) {
            return terms.insert(entry.first).second;
        });
    }

    time_point now{std::chrono::seconds{1}};
    std::vector<standin_target> targets;
    std::optional<platform_record> record;
    std::int64_t listed_revision = 0;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::pair<std::size_t, event>> pending;
    std::vector<std::string> log;
    std::set<std::pair<term_number, std::size_t>> promoted;
    std::pair<term_number, log_position> chosen_log_rank;
    std::size_t platform_calls = 0;
    std::function<fault(std::size_t)> platform_fault = [](std::size_t) { return fault::none; };
    std::function<bool()> loses_control_answer = [] { return false; };
};

struct election_case {
    const char* name;
    std::vector<standin_target> targets;
    /// Number of the platform call that fails: 1 is the read, 2 the claim, 3 the completion or the
    /// read-back.
    std::size_t faulty_call;
    fault injected;
    /// Expected primary; empty when no promotion may be completed.
    std::string primary;
    term_number term;
};

std::ostream& operator<<(std::ostream& out, const election_case& value) {
    return out << value.name;
}

constexpr standin_target unreachable{4, 4, 110, false};

const std::vector<election_case> election_cases{
    {"longest log", {unreachable, {4, 4, 90, true}, {4, 4, 91, true}}, 0, fault::none, "t2", 5},
    {"later term before position",
     {unreachable, {4, 4, 2, true}, {4, 3, 500, true}},
     0,
     fault::none,
     "t1",
     5},
    {"no majority", {unreachable, unreachable, {4, 4, 91, true}}, 0, fault::none, "", 5},
    {"read fails", {unreachable, {}, {4, 4, 90, true}}, 1, fault::unavailable, "t1", 5},
    {"claim fails", {unreachable, {}, {4, 4, 90, true}}, 2, fault::unavailable, "t1", 5},
    {"claim's answer is lost", {unreachable, {}, {4, 4, 90, true}}, 2, fault::answer_lost, "t1", 5},
    {"claim is lost", {unreachable, {}, {4, 4, 90, true}}, 2, fault::request_lost, "t1", 5},
    {"completion fails", {unreachable, {}, {4, 4, 90, true}}, 3, fault::unavailable, "t1", 5},
    {"completion's answer is lost",
     {unreachable, {}, {4, 4, 90, true}},
     3,
     fault::answer_lost,
     "t1",
     5},
    {"completion is lost", {unreachable, {}, {4, 4, 90, true}}, 3, fault::request_lost, "t1", 5},
};

} // namespace

BOOST_AUTO_TEST_SUITE(promoter_test)

// Guards against promoting a target that lacks acknowledged writes, and against continuing after a
// platform call whose effect is unknown without reading the record back.
BOOST_DATA_TEST_CASE(elections, election_cases, sample) {
    simulation test{1};
    test.targets = sample.targets;
    test.platform_fault = [&sample](std::size_t number) {
        return number == sample.faulty_call ? sample.injected : fault::none;
    };
    test.suspect(0);
    test.run(std::chrono::milliseconds{1500});
    BOOST_TEST(test.stored().term == sample.term);
    BOOST_TEST(test.stored().primary.value == sample.primary);
    BOOST_TEST(test.has_one_primary_per_term());
    if (!sample.primary.empty()) {
        BOOST_TEST((test.stored().phase == term_phase::serving));
        BOOST_TEST(test.stored().history.size() == 2U);
        BOOST_TEST(test.stored().history.back().term == 5U);
        BOOST_TEST(
            (test.log == std::vector<std::string>{"promotion_started", "promotion_finished"}));
    }
}

// Guards against a second promotion by a later candidate, and against a promotion whose suspicion
// ended during the candidate's delay.
BOOST_AUTO_TEST_CASE(later_candidates_follow_the_first) {
    simulation test{3};
    test.targets[0] = unreachable;
    for (std::size_t index = 0; index < 3; ++index) {
        test.suspect(index);
    }
    test.run(std::chrono::seconds{2});
    BOOST_TEST(test.stored().term == 5U);
    BOOST_TEST(test.log.size() == 2U);
    simulation recovered{1};
    recovered.nodes[0]->is_suspected = false;
    recovered.suspect(0);
    recovered.run(std::chrono::seconds{2});
    BOOST_TEST(recovered.stored().term == 4U);
}

// Guards against a group that never gets a primary because it has no term record, because targets
// have promised a later term than the record's, or because the candidate died after its claim.
BOOST_AUTO_TEST_CASE(elections_without_a_suspicion) {
    simulation unknown{2, false};
    unknown.targets = {{0, 0, 0, true}, {0, 0, 0, true}, {0, 0, 0, true}};
    unknown.run(std::chrono::seconds{2});
    BOOST_TEST(unknown.stored().term == 1U);
    simulation promised{2, false};
    promised.targets[2].promised = 9;
    promised.run(std::chrono::seconds{2});
    BOOST_TEST(promised.stored().term == 10U);
    BOOST_TEST((promised.stored().phase == term_phase::serving));
    simulation behind{1};
    behind.targets = {unreachable, {8, 4, 5, true}, {8, 4, 5, true}};
    behind.suspect(0);
    behind.run(std::chrono::seconds{3});
    BOOST_TEST(behind.stored().term >= 9U);
    BOOST_TEST((behind.stored().phase == term_phase::serving));
    simulation stuck{2, false};
    stuck.record = platform_record{
        8, term_record{group, 5, term_phase::electing, host_id{"gone"}, {}, {{4, 1}}}};
    stuck.nodes[0]->view.apply(*stuck.record);
    stuck.nodes[1]->view.apply(*stuck.record);
    stuck.run(std::chrono::milliseconds{1900});
    BOOST_TEST(stuck.stored().term == 5U);
    stuck.run(std::chrono::seconds{2});
    BOOST_TEST(stuck.stored().term == 6U);
    BOOST_TEST((stuck.stored().phase == term_phase::serving));
}

// Guards against two primaries in one term when the answer to a promotion is lost and another
// target is asked.
BOOST_AUTO_TEST_CASE(lost_answer_to_a_promotion_takes_a_new_term) {
    simulation test{1};
    test.targets = {unreachable, {4, 4, 95, true}, {4, 4, 90, true}};
    // The first three answers are to the fencing of t0, t1 and t2, the fourth to the promotion.
    int answers = 0;
    test.loses_control_answer = [&answers] { return ++answers == 4; };
    test.suspect(0);
    test.run(std::chrono::seconds{2});
    BOOST_TEST(test.stored().term == 6U);
    BOOST_TEST(test.promoted.size() == 2U);
    BOOST_TEST(test.has_one_primary_per_term());
}

// Guards against a planned promotion that elects the present primary again, and against one that
// elects a target without all acknowledged writes because it ignored the present primary's reply
// without having a majority of others.
BOOST_AUTO_TEST_CASE(planned_promotions_prefer_another_target) {
    simulation test{1};
    action_list actions;
    test.targets[2].position = 99;
    BOOST_TEST(test.nodes[0]->subject.request(test.now, group, actions).started);
    BOOST_TEST(!test.nodes[0]->subject.request(test.now, group, actions).started);
    BOOST_TEST(!test.nodes[0]->subject.request(test.now, group_id{"none"}, actions).started);
    test.collect(0, actions);
    test.run(std::chrono::seconds{1});
    BOOST_TEST(test.stored().primary.value == "t1");
    simulation alone{1};
    alone.targets = {{4, 4, 100, true}, {4, 4, 90, true}, unreachable};
    actions.clear();
    BOOST_TEST(alone.nodes[0]->subject.request(alone.now, group, actions).started);
    alone.collect(0, actions);
    alone.run(std::chrono::seconds{1});
    BOOST_TEST(alone.stored().primary.value == "t0");
    BOOST_TEST(alone.stored().term == 5U);
}

// Guards against a target that stays primary although the platform lists it as leaving.
BOOST_AUTO_TEST_CASE(leaving_primary_is_replaced) {
    simulation test{2};
    group_record listed = *test.nodes[0]->view.find_group(group);
    listed.targets[0].leaving = true;
    test.list(0, listed);
    test.list(1, listed);
    test.run(std::chrono::seconds{2});
    BOOST_TEST(test.stored().primary.value != "t0");
    BOOST_TEST(test.stored().term == 5U);
}

// Guards against two primaries in one term, lost acknowledged writes and elections that never end
// when two candidates compete, platform calls fail and answers of targets are lost.
BOOST_AUTO_TEST_CASE(elections_are_safe_under_faults) {
    const auto property = [] {
        simulation test{2};
        std::vector<log_position> positions;
        for (standin_target& each : test.targets) {
            each.last_term = *rc::gen::inRange<term_number>(3, 5);
            each.position = *rc::gen::inRange<log_position>(90, 101);
        }
        const std::size_t failed = *rc::gen::inRange<std::size_t>(0, 4);
        if (failed < 3) {
            test.targets[failed].is_reachable = false;
        }
        std::vector<std::pair<term_number, log_position>> log_ranks;
        for (const standin_target& each : test.targets) {
            log_ranks.emplace_back(each.last_term, each.position);
        }
        std::sort(log_ranks.begin(), log_ranks.end());
        const std::pair<term_number, log_position> acknowledged = log_ranks[1];
        const auto faults = *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 8));
        const auto losses = *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 5));
        test.platform_fault = [&faults](std::size_t number) {
            const int value = number < faults.size() ? faults[number] : 0;
            return value < 4 ? static_cast<fault>(value) : fault::none;
        };
        std::size_t answers = 0;
        test.loses_control_answer = [&] {
            ++answers;
            return answers < losses.size() && losses[answers] == 0;
        };
        for (int second = 0; second < 15; ++second) {
            test.suspect(0);
            test.suspect(1);
            test.run(std::chrono::seconds{1});
            if (test.stored().phase == term_phase::serving && test.stored().term > 4) {
                break;
            }
        }
        RC_ASSERT(test.has_one_primary_per_term());
        RC_ASSERT(test.stored().phase == term_phase::serving);
        RC_ASSERT(test.stored().term > 4U);
        RC_ASSERT(test.chosen_log_rank >= acknowledged);
    };
    BOOST_TEST(holds_for_seed("elections_are_safe_under_faults", 20261204, 200, property));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::core
