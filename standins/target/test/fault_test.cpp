#include "client.hpp"
#include "statements.hpp"

#include <lovagemoor/standin_target/target_process.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using lovagemoor::standin_target::start_group;
using lovagemoor::standin_target::target_process;
using namespace standin_target_test; // NOLINT(google-build-using-namespace)

namespace {

struct unresponsive_case {
    const char* control;
    const char* on;
    const char* off;
};

std::ostream& operator<<(std::ostream& output, const unresponsive_case& item) {
    return output << item.control;
}

const std::vector<unresponsive_case> unresponsive_modes{{"freeze", "on", "off"},
                                                        {"isolate", "x,test", ""}};

struct refusal_case {
    const char* value;
    const char* message;
};

std::ostream& operator<<(std::ostream& output, const refusal_case& item) {
    return output << item.value;
}

const std::vector<refusal_case> refusals{{"on", "refused by fault injection"},
                                         {"53300", "refused by fault injection"}};

} // namespace

BOOST_AUTO_TEST_SUITE(faults)

// Guards against a frozen target, or one that isolates a client, that still answers this client,
// or that loses a statement sent in the meantime.
BOOST_DATA_TEST_CASE(unresponsive_target_answers_later,
                     boost::unit_test::data::make(unresponsive_modes), item) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    BOOST_TEST_REQUIRE(connection.is_open());
    target.control(item.control, item.on);
    connection.send(insert_order, {"1", "barn", "3"});
    // The answer to this control call shows that the target has had the time to read the statement.
    target.control("lag_ms", "0");
    BOOST_TEST(!connection.has_answer());
    target.control(item.control, item.off);
    BOOST_TEST(connection.receive().tag == "INSERT 0 1");
}

// Guards against isolation that also affects clients that are not listed.
BOOST_AUTO_TEST_CASE(isolation_does_not_affect_other_clients) {
    const target_process target("a", {"--primary"});
    target.control("isolate", "host-1,host-2");
    client other(target.port(), "host-3");
    BOOST_TEST(other.run(count_orders).value(0, 0) == "0");
}

// Guards against a drop_after_commit that closes the connection without committing the transaction,
// or after which the target accepts no writes.
BOOST_AUTO_TEST_CASE(connection_drops_after_commit) {
    const target_process target("a", {"--primary"});
    client connection(target.port());
    target.control("drop_after_commit", "");
    const std::vector<answer> answers = connection.run_pipeline(
        {{"BEGIN", {}}, {insert_order, {"1", "barn", "3"}}, {"COMMIT", {}}});
    BOOST_TEST(answers.front().sqlstate == "lost");
    client next(target.port());
    BOOST_TEST(next.run(count_orders).value(0, 0) == "1");
    BOOST_TEST(next.run(insert_order, {"2", "barn", "3"}).tag == "INSERT 0 1");
}

// Guards against a target that accepts connections under reject_connections, closes the existing
// ones, or still refuses connections after the fault was switched off.
BOOST_DATA_TEST_CASE(connections_are_refused, boost::unit_test::data::make(refusals), item) {
    const target_process target("a", {"--primary"});
    client before(target.port());
    target.control("reject_connections", item.value);
    const client refused(target.port());
    BOOST_TEST(!refused.is_open());
    BOOST_TEST(refused.error().find(item.message) != std::string::npos);
    BOOST_TEST(before.run(count_orders).value(0, 0) == "0");
    target.control("reject_connections", "off");
    BOOST_TEST(client(target.port()).is_open());
}

// Guards against a connection limit that is not enforced, or that still counts a closed connection.
BOOST_AUTO_TEST_CASE(connections_are_limited) {
    const target_process target("a", {"--primary", "--max_connections=1"});
    {
        const client first(target.port());
        BOOST_TEST(first.is_open());
        BOOST_TEST(!client(target.port()).is_open());
    }
    BOOST_TEST(client(target.port()).is_open());
}

// Guards against a replica that ignores its lag, or that loses log entries when the lag ends.
BOOST_AUTO_TEST_CASE(lag_delays_replicas) {
    const auto group = start_group({"a", "b"}, {"--link_delay_ms=0.5"});
    client primary(group[0]->port());
    client replica(group[1]->port());
    BOOST_TEST(replica.run(group_attest, {"1", "1", "20000"}).value(0, 2) == "1");
    group[1]->control("lag_ms", "300");
    BOOST_TEST(primary.run(insert_order, {"1", "barn", "3"}).sqlstate.empty());
    BOOST_TEST(replica.run(group_attest, {"1", "2", "20000"}).value(0, 2) == "2");
    BOOST_TEST(replica.run(group_guard, {"1", "2", "299"}).sqlstate == "DG004");
    group[1]->control("lag_ms", "0");
    BOOST_TEST(primary.run(insert_order, {"2", "barn", "3"}).sqlstate.empty());
    BOOST_TEST(replica.run(group_attest, {"1", "3", "20000"}).value(0, 2) == "3");
}

// Guards against a member that does not receive the log again after a restart: it has to listen on
// its ports of the member list, where the primary reaches it.
BOOST_AUTO_TEST_CASE(restarted_member_receives_the_log) {
    auto group = start_group({"a", "b"});
    client primary(group[0]->port());
    BOOST_TEST(primary.run(insert_order, {"1", "barn", "3"}).sqlstate.empty());
    const std::string members = "a=" + std::to_string(group[0]->port()) + ":" +
                                std::to_string(group[0]->replication_port()) +
                                ",b=" + std::to_string(group[1]->port()) + ":" +
                                std::to_string(group[1]->replication_port());
    group[1]->kill();
    const target_process restarted("b", {"--members=" + members});
    client replica(restarted.port());
    BOOST_TEST(replica.run(group_attest, {"1", "2", "20000"}).value(0, 2) == "2");
}

BOOST_AUTO_TEST_SUITE_END()
