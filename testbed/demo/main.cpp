#include <lovagemoor/testbed/cluster.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

using namespace std::chrono_literals;
namespace core = lovagemoor::core;
namespace testbed = lovagemoor::testbed;

constexpr std::chrono::seconds failover_timeout{20};

/// Prints the result of each step and records whether all steps passed.
class step_log {
public:
    void check(const std::string& step, bool passed, const std::string& answer) {
        all_passed_ = all_passed_ && passed;
        std::cout << (passed ? "ok    " : "WRONG ") << step << ": " << answer << std::endl;
    }

    [[nodiscard]] bool all_passed() const { return all_passed_; }

private:
    bool all_passed_ = true;
};

void check_write_and_read(testbed::cluster& system, step_log& log) {
    testbed::caller_client first{system.hosts().at(0).caller_address};
    testbed::caller_client second{system.hosts().at(1).caller_address};
    core::execute_request booking = testbed::insert_order("1", "barn", 2);
    booking.idempotency_key = "booking-1";
    const testbed::call_reply booked = first.execute(booking);
    log.check("book order 1 on " + system.hosts().at(0).id.value, booked.is_done(),
              describe(booked));

    core::execute_request read = testbed::select_order("1");
    read.session_token = booked.session_token;
    read.max_staleness = 5s;
    const testbed::call_reply read_back = second.execute(read);
    log.check("read it back on " + system.hosts().at(1).id.value, read_back.rows.size() == 1,
              describe(read_back));

    const testbed::call_reply repeated = second.execute(booking);
    const core::done* done = std::get_if<core::done>(&repeated.result);
    log.check("repeat the booking there", done != nullptr && done->replayed, describe(repeated));
}

void check_transaction(testbed::cluster& system, step_log& log) {
    testbed::caller_client client{system.hosts().at(2).caller_address};
    core::begin_request begin;
    begin.service = core::service_id{testbed::cluster::service_name};
    begin.shard_key = "2";
    begin.timeout = 5s;
    const testbed::call_reply begun = client.begin(begin);
    log.check("begin a transaction on " + system.hosts().at(2).id.value, begun.is_done(),
              describe(begun));
    core::execute_request insert = testbed::insert_order("2", "shed", 1);
    insert.transaction = begun.transaction;
    const testbed::call_reply inserted = client.execute(insert);
    log.check("insert order 2 in it", inserted.is_done(), describe(inserted));
    const testbed::call_reply committed =
        client.end({core::transaction_end::commit, begun.transaction, 5s, begun.session_token});
    log.check("commit", committed.is_done(), describe(committed));
}

void check_failover(testbed::cluster& system, step_log& log) {
    testbed::cluster_target& primary = system.find_primary(core::group_id{"g0"});
    const std::string killed_id = primary.id.value;
    primary.process->send_signal(SIGKILL);
    testbed::caller_client client{system.hosts().at(1).caller_address};
    core::execute_request booking = testbed::insert_order("3", "barn", 1);
    booking.idempotency_key = "booking-3";
    testbed::call_reply booked;
    const bool done = testbed::wait_until(failover_timeout, [&] {
        booked = client.execute(booking);
        return booked.is_done();
    });
    log.check("kill primary " + killed_id + " and book order 3", done, describe(booked));
    const std::string new_primary_id = system.find_primary(core::group_id{"g0"}).id.value;
    log.check("another target is primary", new_primary_id != killed_id, new_primary_id);
    for (const std::string order : {"1", "2", "3"}) {
        const testbed::call_reply read = client.execute(testbed::select_order(order));
        log.check("read order " + order, read.rows.size() == 1, describe(read));
    }
}

void check_host_shutdown(testbed::cluster& system, step_log& log) {
    for (testbed::cluster_host& host : system.hosts()) {
        host.process->send_signal(SIGTERM);
        const std::optional<int> exit_code = host.process->wait_for_exit(failover_timeout);
        log.check("stop " + host.id.value, exit_code == 0,
                  "exit code " + std::to_string(exit_code.value_or(-1)));
    }
}

} // namespace

int main() {
    try {
        testbed::cluster_options options;
        options.domains = 2;
        testbed::cluster system{options};
        step_log log;
        check_write_and_read(system, log);
        check_transaction(system, log);
        check_failover(system, log);
        check_host_shutdown(system, log);
        std::cout << (log.all_passed() ? "every answer was right" : "an answer was wrong") << "\n";
        return log.all_passed() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "demo failed: " << error.what() << "\n";
        return 1;
    }
}
