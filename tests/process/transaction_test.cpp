#include <lovagemoor/testbed/cluster.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace lovagemoor::testbed {

namespace {

using namespace std::chrono_literals;

core::begin_request begin_request_for(const std::string& shard_key) {
    core::begin_request request;
    request.service = core::service_id{cluster::service_name};
    request.shard_key = shard_key;
    request.timeout = 5s;
    return request;
}

core::execute_request in_transaction(core::execute_request request, const call_reply& begun) {
    request.transaction = begun.transaction;
    return request;
}

core::end_request end_request_for(const call_reply& begun, core::transaction_end action) {
    return core::end_request{action, begun.transaction, 5s, begun.session_token};
}

/// @return The index of the host that owns the group's primary, which is the only host in the
/// primary's failure domain.
std::size_t host_owning_primary(cluster& system) {
    const core::domain_id domain = system.find_primary(core::group_id{"g0"}).domain;
    std::size_t index = 0;
    while (system.hosts().at(index).domain != domain) {
        ++index;
    }
    return index;
}

} // namespace

BOOST_AUTO_TEST_SUITE(transaction)

// Guards against a transaction that sees or commits the writes of another one, and against
// transaction handles that only work on the host that issued them.
BOOST_AUTO_TEST_CASE(transactions_are_isolated_and_reachable_through_any_host) {
    cluster system{cluster_options{}};
    caller_client first{system.hosts().at(0).caller_address};
    caller_client second{system.hosts().at(1).caller_address};
    const call_reply first_begun = first.begin(begin_request_for("1"));
    const call_reply second_begun = second.begin(begin_request_for("1"));
    BOOST_REQUIRE_MESSAGE(first_begun.is_done(), describe(first_begun));
    BOOST_REQUIRE_MESSAGE(second_begun.is_done(), describe(second_begun));
    BOOST_TEST(second.execute(in_transaction(insert_order("1", "barn", 1), first_begun)).is_done());
    BOOST_TEST(first.execute(in_transaction(insert_order("2", "shed", 2), second_begun)).is_done());
    BOOST_TEST(first.execute(in_transaction(select_order("2"), first_begun)).rows.empty());
    BOOST_TEST(second.end(end_request_for(first_begun, core::transaction_end::commit)).is_done());
    BOOST_TEST(first.end(end_request_for(second_begun, core::transaction_end::rollback)).is_done());
    BOOST_TEST(first.execute(select_order("1")).rows.size() == 1U);
    BOOST_TEST(first.execute(select_order("2")).rows.empty());
    const call_reply again = first.end(end_request_for(first_begun, core::transaction_end::commit));
    BOOST_TEST(std::holds_alternative<core::refused>(again.result), describe(again));
}

// Guards against the writes of an open transaction being kept, or becoming part of the next
// transaction, when the host that owns the transaction is killed.
BOOST_AUTO_TEST_CASE(a_transaction_ends_with_its_owner) {
    cluster system{cluster_options{}};
    const std::size_t owner = host_owning_primary(system);
    const std::size_t other = (owner + 1) % system.hosts().size();
    caller_client client{system.hosts().at(other).caller_address};
    const call_reply begun = client.begin(begin_request_for("1"));
    BOOST_REQUIRE_MESSAGE(begun.is_done(), describe(begun));
    BOOST_TEST(client.execute(in_transaction(insert_order("1", "barn", 1), begun)).is_done());
    system.hosts().at(owner).process->send_signal(SIGKILL);
    const call_reply lost = client.end(end_request_for(begun, core::transaction_end::commit));
    BOOST_TEST(!lost.is_done(), describe(lost));
    BOOST_REQUIRE(wait_until(
        20s, [&client] { return client.execute(insert_order("2", "shed", 1)).is_done(); }));
    const call_reply read = client.execute(select_order("1"));
    BOOST_REQUIRE_MESSAGE(read.is_done(), describe(read));
    BOOST_TEST(read.rows.empty());
}

// Guards against a request with an idempotency key that runs again when it is repeated through
// another host, while the first request runs or after it, and against a key that is accepted for a
// different statement.
BOOST_AUTO_TEST_CASE(a_keyed_request_runs_once) {
    cluster system{cluster_options{}};
    std::vector<std::thread> threads;
    std::vector<call_reply> replies(system.hosts().size() * 2);
    for (std::size_t index = 0; index < replies.size(); ++index) {
        threads.emplace_back([&system, &replies, index] {
            caller_client client{system.hosts().at(index % system.hosts().size()).caller_address};
            core::execute_request request = insert_order("1", "barn", 1);
            request.idempotency_key = "booking-1";
            replies.at(index) = client.execute(request);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    std::size_t first_runs = 0;
    for (const call_reply& reply : replies) {
        BOOST_REQUIRE_MESSAGE(reply.is_done(), describe(reply));
        first_runs += std::get<core::done>(reply.result).replayed ? 0U : 1U;
    }
    BOOST_TEST(first_runs == 1U);
    caller_client client{system.hosts().front().caller_address};
    core::execute_request other = insert_order("1", "shed", 9);
    other.idempotency_key = "booking-1";
    const call_reply conflict = client.execute(other);
    const core::failed* failure = std::get_if<core::failed>(&conflict.result);
    BOOST_REQUIRE_MESSAGE(failure != nullptr, describe(conflict));
    BOOST_TEST((failure->reason == core::failure_reason::idempotency_conflict));
}

// Guards against a write that runs twice because the primary's answer was lost after its COMMIT
// took effect. Without an idempotency key the outcome is unknown; with one, the stored answer is
// returned.
BOOST_AUTO_TEST_CASE(a_write_is_not_repeated_when_its_commit_reply_is_lost) {
    cluster system{cluster_options{}};
    caller_client client{system.hosts().front().caller_address};
    BOOST_REQUIRE(client.execute(insert_order("1", "barn", 1)).is_done());
    target_client primary{system.find_primary(core::group_id{"g0"}).port};

    primary.control("drop_after_commit", "on");
    const call_reply unkeyed = client.execute(insert_order("2", "barn", 1));
    BOOST_TEST(std::holds_alternative<core::outcome_unknown>(unkeyed.result), describe(unkeyed));

    primary.control("drop_after_commit", "on");
    core::execute_request request = insert_order("3", "barn", 1);
    request.idempotency_key = "booking-3";
    const call_reply keyed = client.execute(request);
    BOOST_REQUIRE_MESSAGE(keyed.is_done(), describe(keyed));
    BOOST_TEST(std::get<core::done>(keyed.result).replayed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::testbed
