#include <lovagemoor/testbed/cluster.hpp>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace lovagemoor::testbed {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t ids_per_worker = 1'000'000;

/// Counts the calls of all workers by how they ended. A graceful stop allows only calls that are
/// done and calls that the leaving host refuses with HOST_LEAVING.
struct load_counts {
    std::atomic<std::uint32_t> done{0};
    std::atomic<std::uint32_t> refused_by_leaving_host{0};
    std::atomic<std::uint32_t> interrupted{0};
    std::atomic<std::uint32_t> unexpected{0};
};

void count_reply(const call_reply& reply, load_counts& counts) {
    const core::refused* refusal = std::get_if<core::refused>(&reply.result);
    if (!reply.complete) {
        ++counts.interrupted;
    } else if (reply.is_done()) {
        ++counts.done;
    } else if (refusal != nullptr && refusal->reason == core::refusal_reason::host_leaving) {
        ++counts.refused_by_leaving_host;
    } else {
        ++counts.unexpected;
        BOOST_TEST_MESSAGE(describe(reply));
    }
}

/// Sends a write and a read of the same order in turn until the host refuses a write because it is
/// leaving, or until `stop` is set.
void send_requests(const std::string& address, std::size_t worker, const std::atomic<bool>& stop,
                   load_counts& counts) {
    caller_client client{address};
    for (std::uint32_t index = 0; !stop; ++index) {
        const std::string id = std::to_string(worker * ids_per_worker + index + 1);
        const call_reply reply = client.execute(insert_order(id, "barn", 1));
        count_reply(reply, counts);
        const core::refused* refusal = std::get_if<core::refused>(&reply.result);
        if (refusal != nullptr && refusal->reason == core::refusal_reason::host_leaving) {
            return;
        }
        count_reply(client.execute(select_order(id)), counts);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(drain)

// Guards against a planned stop that interrupts requests in progress. These are the requests of the
// host's own callers, the requests that other hosts forward to it as the owner of a target, and
// those of open transactions.
BOOST_AUTO_TEST_CASE(a_graceful_stop_interrupts_no_request) {
    cluster_options options;
    options.hosts = 6;
    options.service_time = 2ms;
    cluster system{options};
    cluster_host& leaving = system.hosts().front();
    caller_client transaction_client{leaving.caller_address};
    core::begin_request begin;
    begin.service = core::service_id{cluster::service_name};
    begin.shard_key = "open";
    begin.timeout = 5s;
    const call_reply begun = transaction_client.begin(begin);
    BOOST_REQUIRE_MESSAGE(begun.is_done(), describe(begun));

    std::atomic<bool> stop{false};
    load_counts counts;
    std::vector<std::thread> workers;
    for (std::size_t worker = 0; worker < 12; ++worker) {
        const std::string address = system.hosts().at(worker % 3).caller_address;
        workers.emplace_back(
            [address, worker, &stop, &counts] { send_requests(address, worker, stop, counts); });
    }
    BOOST_REQUIRE(wait_until(10s, [&counts] { return counts.done > 200; }));
    leaving.process->send_signal(SIGTERM);
    const std::uint32_t done_at_stop = counts.done;
    BOOST_TEST(wait_until(10s, [&] { return counts.done > done_at_stop + 200; }));

    core::execute_request insert = insert_order("999999999", "barn", 1);
    insert.transaction = begun.transaction;
    const call_reply inserted = transaction_client.execute(insert);
    BOOST_TEST(inserted.is_done(), describe(inserted));
    const call_reply committed = transaction_client.end(
        core::end_request{core::transaction_end::commit, begun.transaction, 5s, {}});
    BOOST_TEST(committed.is_done(), describe(committed));

    const std::optional<int> exit_code = leaving.process->wait_for_exit(30s);
    BOOST_TEST(exit_code.has_value());
    BOOST_TEST(exit_code.value_or(-1) == 0);
    stop = true;
    for (std::thread& worker : workers) {
        worker.join();
    }
    BOOST_TEST(counts.interrupted == 0U);
    BOOST_TEST(counts.unexpected == 0U);
    BOOST_TEST(counts.refused_by_leaving_host > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::testbed
