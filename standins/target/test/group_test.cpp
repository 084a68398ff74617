#include "client.hpp"
#include "statements.hpp"

#include <lovagemoor/standin_target/target_process.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

using lovagemoor::standin_target::start_group;
using lovagemoor::standin_target::target_process;
using namespace standin_target_test; // NOLINT(google-build-using-namespace)

namespace {

/// Wait and age limit that is long enough for a loaded machine; an attest call returns as soon as
/// the log contains the position.
const std::string generous_limit_ms = "20000";

struct group {
    std::vector<std::unique_ptr<target_process>> targets;
    client a;
    client b;
    client c;

    explicit group(const std::vector<std::string>& flags = {})
        : targets(start_group({"a", "b", "c"}, flags)),
          a(targets[0]->port()),
          b(targets[1]->port()),
          c(targets[2]->port()) {}

    /// Writes orders to a and waits until b and c have replicated them.
    void write_orders(int count) {
        for (int id = 1; id <= count; ++id) {
            BOOST_TEST(a.run(insert_order, {std::to_string(id), "barn", "1"}).sqlstate.empty());
        }
        wait_for(b, "1", std::to_string(count + 1));
        wait_for(c, "1", std::to_string(count + 1));
    }

    static void wait_for(client& target, const std::string& term, const std::string& position) {
        const answer attested = target.run(group_attest, {term, position, generous_limit_ms});
        BOOST_TEST(attested.value(0, 1) == term);
        BOOST_TEST(attested.value(0, 2) == position);
    }
};

struct guard_case {
    const char* name;
    std::vector<std::string> parameters;
    std::string expected;
};

std::ostream& operator<<(std::ostream& output, const guard_case& item) {
    return output << item.name;
}

/// The log contains the opening of term 1 at position 1, orders at 2 and 3, the opening of term 3
/// at 4 and an order at 5.
const std::vector<guard_case> guards{
    {"an empty token", {"0", "0", "-1"}, ""},
    {"the last entry", {"3", "5", "-1"}, ""},
    {"a position ahead", {"3", "6", "-1"}, "DG002"},
    {"a later term", {"4", "1", "-1"}, "DG002"},
    {"the end of an earlier term", {"1", "3", "-1"}, ""},
    {"an entry that a later term replaced", {"1", "4", "-1"}, "DG003"},
    {"beyond the end of an earlier term", {"1", "5", "-1"}, "DG003"},
    {"a term that left no entry", {"2", "4", "-1"}, "DG003"},
    {"an age limit on the primary", {"3", "5", "0"}, ""},
};

} // namespace

BOOST_AUTO_TEST_SUITE(groups)

// Guards against replicas that do not receive the primary's log, or that accept writes.
BOOST_AUTO_TEST_CASE(replicas_follow_the_primary) {
    group members;
    members.write_orders(3);
    BOOST_TEST(members.b.run(count_orders).value(0, 0) == "3");
    BOOST_TEST(members.b.run(insert_order, {"9", "a", "1"}).sqlstate == "25006");
    BOOST_TEST(members.b.run(group_status).value(0, 3) == "f");
}

// Guards against a transaction that writes a log entry per statement instead of a single one.
BOOST_AUTO_TEST_CASE(a_transaction_is_one_log_entry) {
    group members;
    const std::vector<answer> answers = members.a.run_pipeline({{"BEGIN", {}},
                                                                {insert_order, {"1", "a", "1"}},
                                                                {insert_order, {"2", "a", "1"}},
                                                                {"COMMIT", {}},
                                                                {group_position, {}}});
    BOOST_TEST(answers.back().value(0, 1) == "2");
}

// Guards against a db_group_guard call that accepts a position that the log does not contain.
BOOST_DATA_TEST_CASE(guard_checks_the_log, boost::unit_test::data::make(guards), item) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    BOOST_TEST(connection.run(insert_order, {"1", "a", "1"}).sqlstate.empty());
    BOOST_TEST(connection.run(insert_order, {"2", "a", "1"}).sqlstate.empty());
    BOOST_TEST(connection.run(group_promote, {"3"}).value(0, 1) == "4");
    BOOST_TEST(connection.run(insert_order, {"3", "a", "1"}).sqlstate.empty());
    BOOST_TEST(connection.run(group_guard, item.parameters).sqlstate == item.expected);
}

// Guards against two primaries that both commit: a primary that promised a higher term while a
// transaction was open must not commit it.
BOOST_AUTO_TEST_CASE(fenced_primary_refuses_commit) {
    group members;
    members.write_orders(1);
    BOOST_TEST(members.a.run("BEGIN").tag == "BEGIN");
    BOOST_TEST(members.a.run(insert_order, {"2", "a", "1"}).sqlstate.empty());
    client candidate(members.targets[0]->port());
    BOOST_TEST(candidate.run(group_raise, {"2"}).value(0, 0) == "2");
    BOOST_TEST(members.a.run("COMMIT").sqlstate == "25006");
    BOOST_TEST(members.a.transaction_status() == PQTRANS_IDLE);
    BOOST_TEST(members.a.run(count_orders).value(0, 0) == "1");
    BOOST_TEST(candidate.run(group_raise, {"1"}).sqlstate == "DG001");
    BOOST_TEST(candidate.run(group_promote, {"1"}).sqlstate == "DG001");
}

// Guards against a repeated promotion that opens the term twice, and against members that do not
// follow the new primary.
BOOST_AUTO_TEST_CASE(replicas_follow_the_promoted_primary) {
    group members;
    members.write_orders(2);
    BOOST_TEST(members.b.run(group_raise, {"2"}).value(0, 0) == "2");
    BOOST_TEST(members.c.run(group_raise, {"2"}).value(0, 0) == "2");
    BOOST_TEST(members.b.run(group_promote, {"2"}).value(0, 1) == "4");
    BOOST_TEST(members.b.run(group_promote, {"2"}).value(0, 1) == "4");
    group::wait_for(members.a, "2", "4");
    group::wait_for(members.c, "2", "4");
    BOOST_TEST(members.a.run(group_status).value(0, 3) == "f");
    BOOST_TEST(members.b.run(insert_order, {"9", "a", "1"}).sqlstate.empty());
    group::wait_for(members.a, "2", "5");
}

// Guards against a former primary that keeps entries which it did not replicate before the next
// term was opened.
BOOST_AUTO_TEST_CASE(diverged_entries_are_truncated) {
    group members;
    members.write_orders(2);
    members.targets[0]->control("cut_replication", "on");
    BOOST_TEST(members.a.run(insert_order, {"7", "lost", "1"}).sqlstate.empty());
    BOOST_TEST(members.a.run(insert_order, {"8", "lost", "1"}).sqlstate.empty());
    BOOST_TEST(members.b.run(group_raise, {"2"}).value(0, 0) == "2");
    BOOST_TEST(members.b.run(group_promote, {"2"}).value(0, 1) == "4");
    members.targets[0]->control("cut_replication", "off");
    group::wait_for(members.a, "2", "4");
    BOOST_TEST(members.a.run(count_orders).value(0, 0) == "2");
    BOOST_TEST(members.a.run(group_guard, {"1", "5", "-1"}).sqlstate == "DG003");
}

// Guards against a replica that still applies log entries of a term below the one that it
// promised.
BOOST_AUTO_TEST_CASE(fenced_replica_rejects_log_of_lower_term) {
    group members;
    members.write_orders(1);
    BOOST_TEST(members.b.run(group_raise, {"2"}).value(0, 0) == "2");
    BOOST_TEST(members.a.run(insert_order, {"2", "a", "1"}).sqlstate.empty());
    group::wait_for(members.c, "1", "3");
    const answer attested = members.b.run(group_attest, {"1", "3", "0"});
    BOOST_TEST(attested.value(0, 0) == "2");
    BOOST_TEST(attested.value(0, 2) == "2");
}

// Guards against an age that does not grow while the replica has no contact with the primary.
BOOST_AUTO_TEST_CASE(disconnected_replica_becomes_too_old) {
    group members;
    members.write_orders(1);
    BOOST_TEST(members.b.run(group_guard, {"1", "2", generous_limit_ms}).sqlstate.empty());
    members.targets[1]->control("cut_replication", "on");
    answer guarded;
    while (guarded.sqlstate.empty()) {
        guarded = members.b.run(group_guard, {"1", "2", "50"});
    }
    BOOST_TEST(guarded.sqlstate == "DG004");
    BOOST_TEST(members.b.run(group_guard, {"1", "2", "-1"}).sqlstate.empty());
}

BOOST_AUTO_TEST_SUITE_END()
