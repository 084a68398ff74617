#include "fake_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace lovagemoor::proxy {

namespace {

using namespace std::chrono_literals;
using testing::fake_cluster;
using kind = statement_kind;
using error_kind = statement_error_kind;

const core::target_id t0{"t0"};
const core::target_id t1{"t1"};
const core::target_id t2{"t2"};

/// Hosts of the cluster: three for two connections of a target (30).
constexpr int host_count = 45;

/// @brief A host among so many that it borrows its connections.
fake_cluster started(const std::vector<std::string>& organisations = {}, std::uint32_t seed = 1) {
    fake_cluster cluster{seed};
    cluster.organisations = organisations;
    cluster.start_reference(host_count);
    cluster.start_holders();
    cluster.run_for(500ms);
    return cluster;
}

std::string error_of(const fake_cluster& cluster, const std::string& id) {
    const auto given = cluster.answer(id);
    if (!given.has_value()) {
        return "no answer";
    }
    return given->result.error.has_value() ? given->result.error->text : "";
}

/// @return Number of connections that the host itself has opened to any target.
std::size_t own_connects(const fake_cluster& cluster) {
    const std::vector<open_target> opened = cluster.performed<open_target>();
    return static_cast<std::size_t>(
        std::count_if(opened.begin(), opened.end(),
                      [](const open_target& request) { return !request.holder.has_value(); }));
}

/// @return The holder of the last connection that was borrowed for callers.
core::host_id last_holder(const fake_cluster& cluster, const core::target_id& target) {
    core::host_id holder;
    for (const open_target& request : cluster.performed<open_target>()) {
        if (request.holder.has_value() && request.target == target && !request.any_organisation) {
            holder = *request.holder;
        }
    }
    return holder;
}

std::string serve(fake_cluster& cluster, session_id caller, kind what,
                  core::duration time = 150ms) {
    const std::string id = cluster.send(caller, what, "x");
    cluster.run_for(time);
    return error_of(cluster, id);
}

void check_rules(const fake_cluster& cluster) {
    for (const std::string& violation : cluster.violations()) {
        BOOST_ERROR(violation);
    }
}

} // namespace

// Guards against a host that opens connections although others lend theirs, and that keeps what it
// has borrowed.
BOOST_AUTO_TEST_CASE(statements_run_over_borrowed_connections) {
    fake_cluster cluster = started();
    const session_id latest = cluster.open("latest");
    const session_id own = cluster.open("own");
    for (int round = 0; round < 10; ++round) {
        BOOST_TEST(serve(cluster, own, kind::write).empty());
        BOOST_TEST(serve(cluster, latest, kind::read).empty());
        BOOST_TEST(serve(cluster, own, kind::read).empty());
    }
    cluster.run_for(200ms);
    BOOST_TEST(own_connects(cluster) == 0U);
    BOOST_TEST(cluster.opened_by_holders() <= 6U);
    const std::size_t loans = cluster.performed<open_target>().size();
    BOOST_TEST(cluster.performed<return_target>().size() == loans);
    check_rules(cluster);
}

// Guards against a change where each host can keep its connections.
BOOST_AUTO_TEST_CASE(connections_are_not_borrowed_if_there_are_enough) {
    fake_cluster cluster;
    cluster.start_reference(3);
    cluster.start_holders();
    cluster.run_for(500ms);
    const session_id caller = cluster.open("own");
    BOOST_TEST(serve(cluster, caller, kind::write).empty());
    BOOST_TEST(cluster.opened_by_holders() == 0U);
    BOOST_TEST(own_connects(cluster) > 0U);
}

// Guards against connections that are kept although others lend theirs.
BOOST_AUTO_TEST_CASE(no_connection_is_kept_in_advance) {
    fake_cluster cluster = started();
    cluster.run_for(5s);
    BOOST_TEST(own_connects(cluster) == 0U);
    BOOST_TEST(cluster.connections_to(t0) == 0U);
}

// Guards against statements that see the values of another session, also if they use none.
BOOST_AUTO_TEST_CASE(values_of_one_session_do_not_reach_another) {
    fake_cluster cluster = started();
    const session_id with_values = cluster.open("own");
    const session_id without = cluster.open("own");
    const session_id in_transaction = cluster.open("own");
    for (int round = 0; round < 5; ++round) {
        cluster.set_value(with_values, "a", std::to_string(round));
        BOOST_TEST(serve(cluster, with_values, kind::write).empty());
        BOOST_TEST(serve(cluster, without, kind::write).empty());
        BOOST_TEST(serve(cluster, in_transaction, kind::begin).empty());
        BOOST_TEST(serve(cluster, in_transaction, kind::write).empty());
        BOOST_TEST(serve(cluster, in_transaction, kind::commit).empty());
    }
    BOOST_TEST(own_connects(cluster) == 0U);
    check_rules(cluster);
}

// Guards against a reset for each loan of a connection on which nothing is set.
BOOST_AUTO_TEST_CASE(clean_connections_are_not_reset) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    for (int round = 0; round < 5; ++round) {
        BOOST_TEST(serve(cluster, caller, kind::write).empty());
    }
    for (const send_commands& sent : cluster.performed<send_commands>()) {
        for (const target_command& command : sent.commands) {
            BOOST_TEST((command.kind != command_kind::reset));
        }
    }
}

// Guards against statements of one organisation, or of none, on a connection of another.
BOOST_AUTO_TEST_CASE(organisations_do_not_share_connections) {
    fake_cluster cluster = started({"o", "p"});
    const session_id callers[] = {cluster.open("own", "key of o"), cluster.open("own", "key of p"),
                                  cluster.open("own")};
    for (int round = 0; round < 5; ++round) {
        for (const session_id caller : callers) {
            const std::string write = cluster.send(caller, kind::write, "x");
            const std::string read = cluster.send(caller, kind::read, "x");
            cluster.run_for(round == 0 ? 200ms : 5ms);
        }
    }
    cluster.run_for(1s);
    BOOST_TEST(cluster.unanswered() == 0U);
    check_rules(cluster);
}

// Guards against a loan that ends although a waiting request of the same organisation could use the
// connection at once.
BOOST_AUTO_TEST_CASE(waiting_requests_take_over_loans) {
    fake_cluster cluster = started();
    std::vector<std::string> sent;
    sent.reserve(30);
    for (int index = 0; index < 30; ++index) {
        sent.push_back(cluster.send(cluster.open("own"), kind::write, "x"));
    }
    cluster.run_for(500ms);
    for (const std::string& id : sent) {
        BOOST_TEST(error_of(cluster, id) == "");
    }
    cluster.run_for(500ms);
    BOOST_TEST(own_connects(cluster) == 0U);
    check_rules(cluster);
}

namespace {

struct fault_row {
    const char* name;
    /// What happens to the holder that the caller's last statement used.
    std::function<void(fake_cluster&, const core::host_id&)> apply;
    /// Time within which the next write must be answered.
    core::duration within;
};

std::ostream& operator<<(std::ostream& output, const fault_row& row) {
    return output << row.name;
}

const std::vector<fault_row> fault_rows{
    {"killed", [](fake_cluster& cluster, const core::host_id& id) { cluster.kill_holder(id); },
     400ms},
    {"frozen", [](fake_cluster& cluster, const core::host_id& id) { cluster.freeze_holder(id); },
     500ms},
    {"slow",
     [](fake_cluster& cluster, const core::host_id& id) {
         cluster.holders.at(id).slowness = 400ms;
     },
     500ms},
    {"stopping",
     [](fake_cluster& cluster, const core::host_id& id) {
         cluster.tell_holder(id, stop_requested{});
     },
     200ms},
};

} // namespace

// Guards against statements that fail, wait or run twice because a holder is lost, and against
// attributing that to the target.
BOOST_DATA_TEST_CASE(the_next_holder_replaces_a_lost_one, boost::unit_test::data::make(fault_rows),
                     row) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    const core::host_id lost = last_holder(cluster, t0);
    row.apply(cluster, lost);
    cluster.run_for(10ms);
    BOOST_TEST(serve(cluster, caller, kind::write, row.within).empty());
    BOOST_TEST((last_holder(cluster, t0) != lost));
    // The lost holder is avoided now, and not asked again.
    BOOST_TEST(serve(cluster, caller, kind::write, 100ms).empty());
    cluster.run_for(1s);
    BOOST_TEST(cluster.performed<publish_suspicion>().empty());
    BOOST_TEST(own_connects(cluster) == 0U);
    check_rules(cluster);
}

// Guards against a host that serves nothing while no holder can be reached.
BOOST_AUTO_TEST_CASE(own_connections_replace_lost_holders_and_are_closed_when_idle) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    for (const auto& [id, known] : cluster.holders) {
        cluster.kill_holder(id);
    }
    cluster.run_for(10ms);
    BOOST_TEST(serve(cluster, caller, kind::write, 300ms).empty());
    BOOST_TEST(own_connects(cluster) > 0U);
    BOOST_TEST(cluster.performed<publish_suspicion>().empty());
    cluster.run_for(1s);
    BOOST_TEST(cluster.connections_to(t0) == 0U);
    check_rules(cluster);
}

namespace {

struct lost_statement_row {
    const char* name;
    std::vector<kind> before;
    kind statement;
    /// Empty if the statement is repeated.
    std::optional<error_kind> error;
};

std::ostream& operator<<(std::ostream& output, const lost_statement_row& row) {
    return output << row.name;
}

const std::vector<lost_statement_row> lost_statement_rows{
    {"a write", {}, kind::write, error_kind::in_doubt},
    {"a read", {}, kind::read, std::nullopt},
    {"a commit", {kind::begin, kind::write}, kind::commit, error_kind::in_doubt},
    {"a statement of a transaction", {kind::begin, kind::write}, kind::write, error_kind::aborted},
};

} // namespace

// Guards against repeating a write that may have run when the loan is lost.
BOOST_DATA_TEST_CASE(a_lost_loan_is_a_lost_connection,
                     boost::unit_test::data::make(lost_statement_rows), row) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("latest");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    const core::host_id holder = last_holder(cluster, t0);
    for (const kind before : row.before) {
        BOOST_REQUIRE(serve(cluster, caller, before).empty());
    }
    cluster.targets.at(t0).lost_answers = 1;
    const std::string id = cluster.send(caller, row.statement, "x");
    cluster.run_for(50ms);
    BOOST_REQUIRE(!cluster.answer(id).has_value());
    cluster.kill_holder(holder);
    cluster.run_for(400ms);
    BOOST_REQUIRE(cluster.answer(id).has_value());
    const std::optional<statement_error> error = cluster.answer(id)->result.error;
    BOOST_TEST(error.has_value() == row.error.has_value());
    if (error.has_value() && row.error.has_value()) {
        BOOST_TEST((error->kind == *row.error));
    }
    BOOST_TEST(cluster.performed<publish_suspicion>().empty());
    check_rules(cluster);
}

// Guards against a transaction that is open on a connection lent to another session.
BOOST_AUTO_TEST_CASE(an_open_transaction_is_aborted_with_its_holder) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::begin).empty());
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    cluster.kill_holder(last_holder(cluster, t0));
    cluster.run_for(50ms);
    const std::string id = cluster.send(caller, kind::write, "x");
    cluster.run_for(100ms);
    BOOST_REQUIRE(cluster.answer(id).has_value());
    BOOST_REQUIRE(cluster.answer(id)->result.error.has_value());
    BOOST_TEST((cluster.answer(id)->result.error->kind == error_kind::aborted));
    check_rules(cluster);
}

// Guards against a holder that wakes and runs what its borrower has repeated elsewhere.
BOOST_AUTO_TEST_CASE(a_holder_that_wakes_runs_nothing_twice) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    const core::host_id holder = last_holder(cluster, t0);
    std::vector<std::string> sent;
    sent.reserve(5);
    for (int index = 0; index < 5; ++index) {
        sent.push_back(cluster.send(cluster.open("own"), kind::write, "x"));
    }
    cluster.run_for(2ms);
    cluster.freeze_holder(holder);
    cluster.run_for(3s);
    cluster.thaw_holder(holder);
    cluster.run_for(1s);
    BOOST_TEST(cluster.unanswered() == 0U);
    check_rules(cluster);
}

// Guards against a lost primary that is not noticed because its connections are borrowed.
BOOST_AUTO_TEST_CASE(a_lost_primary_is_suspected_over_own_connections) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    cluster.targets.at(t0).crashed = true;
    cluster.disconnect(t0);
    cluster.send(caller, kind::write, "x");
    cluster.run_for(2s);
    BOOST_TEST(own_connects(cluster) > 0U);
    BOOST_TEST(!cluster.performed<publish_suspicion>().empty());
    check_rules(cluster);
}

// Guards against counting it as the loss of the primary if only the holders cannot reach it, and
// against a return to them that comes too late.
BOOST_AUTO_TEST_CASE(holders_without_the_primary_do_not_count_against_it) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    cluster.targets.at(t0).refuses_holders = true;
    cluster.disconnect(t0);
    for (int round = 0; round < 20; ++round) {
        BOOST_TEST(serve(cluster, caller, kind::write, 200ms).empty());
    }
    BOOST_TEST(own_connects(cluster) > 0U);
    BOOST_TEST(cluster.performed<publish_suspicion>().empty());
    cluster.targets.at(t0).refuses_holders = false;
    cluster.run_for(1500ms);
    const std::size_t opened = own_connects(cluster);
    BOOST_TEST(serve(cluster, caller, kind::write, 300ms).empty());
    BOOST_TEST(own_connects(cluster) == opened);
    check_rules(cluster);
}

// Guards against a host that considers itself cut off because it keeps no connections and some
// targets are lost.
BOOST_AUTO_TEST_CASE(lost_targets_are_not_taken_for_isolation) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    BOOST_REQUIRE(serve(cluster, caller, kind::write).empty());
    for (const core::target_id& lost : {t1, t2}) {
        cluster.targets.at(lost).crashed = true;
        cluster.disconnect(lost);
    }
    for (int round = 0; round < 20; ++round) {
        serve(cluster, caller, kind::write);
        serve(cluster, caller, kind::read);
    }
    for (const set_ready& change : cluster.performed<set_ready>()) {
        BOOST_TEST(change.ready);
    }
}

// Guards against a replica that is never used again after it failed, since no connection to it is
// kept that would show its return.
BOOST_AUTO_TEST_CASE(a_replica_that_returns_is_used_again) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("bounded");
    for (const core::target_id& lost : {t1, t2}) {
        cluster.targets.at(lost).crashed = true;
        cluster.disconnect(lost);
    }
    for (int round = 0; round < 10; ++round) {
        BOOST_TEST(serve(cluster, caller, kind::read).empty());
    }
    for (const core::target_id& lost : {t1, t2}) {
        cluster.targets.at(lost).crashed = false;
    }
    cluster.run_for(3s);
    // The primary has answered faster than the replicas are expected to.
    cluster.targets.at(t0).busy = true;
    bool used = false;
    for (int round = 0; round < 10; ++round) {
        const std::string id = cluster.send(caller, kind::read, "x");
        cluster.run_for(150ms);
        const std::vector<core::target_id> ran = cluster.ran_at(id);
        used = used || (!ran.empty() && ran.back() != t0);
    }
    BOOST_TEST(used);
    check_rules(cluster);
}

// Guards against a violation of a rule when two hosts choose different holders.
BOOST_AUTO_TEST_CASE(a_change_of_the_list_of_links_only_moves_loans) {
    fake_cluster cluster = started();
    const session_id caller = cluster.open("own");
    for (int round = 0; round < 6; ++round) {
        cluster.set_value(caller, "a", std::to_string(round));
        const std::string write = cluster.send(caller, kind::write, "x");
        link_peers_listed fewer{cluster.link_peers};
        fewer.peers.erase(fewer.peers.begin() + round % 6);
        cluster.apply(fewer);
        cluster.run_for(150ms);
        BOOST_TEST(error_of(cluster, write) == "");
    }
    check_rules(cluster);
}

// Guards against mixed sessions, lost or repeated writes and requests without an answer under
// random faults of holders and targets.
BOOST_DATA_TEST_CASE(random_faults_of_holders_violate_no_rule, boost::unit_test::data::xrange(20),
                     seed) {
    fake_cluster cluster = started({"o", "p"}, static_cast<std::uint32_t>(seed) + 1);
    const std::vector<std::string> databases{"latest", "bounded", "own"};
    const std::vector<std::string> organisations{"", "o", "p"};
    std::vector<session_id> callers;
    for (const std::string& database : databases) {
        for (const std::string& organisation : organisations) {
            callers.push_back(cluster.open(database, organisation));
            callers.push_back(cluster.open(database, organisation));
        }
    }
    const std::vector<std::string> names{"a1", "a2", "b1", "b2", "c1", "c2"};
    const auto pick = [&](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(cluster.random());
    };
    for (int step = 0; step < 1500; ++step) {
        const session_id caller = callers[pick(callers.size())];
        if (cluster.is_idle(caller)) {
            switch (pick(8)) {
            case 0:
                if (!cluster.in_transaction(caller)) {
                    cluster.set_value(caller, "v", std::to_string(pick(3)));
                }
                break;
            case 1:
                cluster.send(caller, cluster.in_transaction(caller) ? kind::commit : kind::begin);
                break;
            case 2:
                cluster.send(caller, cluster.in_transaction(caller) ? kind::rollback : kind::read,
                             "x");
                break;
            case 3:
            case 4:
                cluster.send(caller, kind::write, "x");
                break;
            default:
                cluster.send(caller, kind::read, "x");
                break;
            }
        }
        const core::host_id holder{names[pick(names.size())]};
        switch (pick(100)) {
        case 0:
            if (!cluster.holders.at(holder).frozen) {
                cluster.freeze_holder(holder);
            }
            break;
        case 1:
        case 2:
            if (cluster.holders.at(holder).frozen) {
                cluster.thaw_holder(holder);
            }
            break;
        case 3:
            cluster.holders.at(holder).slowness = pick(2) == 0 ? 0ms : 300ms;
            break;
        case 4:
            cluster.disconnect(core::target_id{"t" + std::to_string(pick(3))});
            break;
        case 5:
            cluster.targets.at(t0).lost_answers = 1;
            break;
        case 6:
            if (step > 1000 && pick(3) == 0) {
                cluster.kill_holder(holder);
            }
            break;
        default:
            break;
        }
        cluster.run_for(core::duration{500 + 1000 * static_cast<int>(pick(10))});
    }
    cluster.run_for(5s);
    BOOST_TEST(cluster.unanswered() == 0U);
    check_rules(cluster);
}

} // namespace lovagemoor::proxy
