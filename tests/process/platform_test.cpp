#include <lovagemoor/testbed/cluster.hpp>
#include <lovagemoor/testbed/operator_command.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace lovagemoor::testbed {

namespace {

using namespace std::chrono_literals;

/// @return The arguments of the operator command that sets the service's longest staleness,
/// provided that the configuration still has version 1.
std::vector<std::string> put_service_arguments(const std::string& operation_id,
                                               std::uint32_t max_staleness_ms) {
    return {"service",
            "put",
            "--name=" + std::string{cluster::service_name},
            "--groups=g0",
            "--max_staleness_ms=" + std::to_string(max_staleness_ms),
            "--operation_id=" + operation_id,
            "--expected_version=1"};
}

bool all_hosts_have_version(cluster& system, std::uint64_t version) {
    const command_result result = run_operator_command(system, {"version", "--output=json"});
    std::size_t hosts_with_version = 0;
    const std::string expected_field =
        "\"configurationVersion\":\"" + std::to_string(version) + "\"";
    for (std::size_t offset = result.output.find(expected_field); offset != std::string::npos;
         offset = result.output.find(expected_field, offset + 1)) {
        ++hosts_with_version;
    }
    return hosts_with_version >= system.hosts().size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform)

// Guards against requests that fail while the platform is down, against a host that cannot start
// during such an outage, and against a configuration change that is reported as accepted during it.
BOOST_AUTO_TEST_CASE(traffic_continues_while_the_platform_is_down) {
    cluster system{cluster_options{}};
    system.platform().set_outage(true);
    caller_client first{system.hosts().at(0).caller_address};
    for (int index = 0; index < 20; ++index) {
        const call_reply reply = first.execute(insert_order(std::to_string(index), "barn", 1));
        BOOST_TEST(reply.is_done(), describe(reply));
    }
    system.restart_host(1);
    caller_client second{system.hosts().at(1).caller_address};
    BOOST_TEST(wait_until(
        20s, [&second] { return second.execute(select_order("19")).rows.size() == 1U; }));
    const command_result change = run_operator_command(system, put_service_arguments("op-1", 1000));
    BOOST_TEST(change.exit_code != 0);
    system.platform().set_outage(false);
    BOOST_TEST(wait_until(20s, [&system] {
        return run_operator_command(system, put_service_arguments("op-2", 1000)).exit_code == 0;
    }));
}

// Guards against a configuration change that took effect but is reported as failed because the
// platform's answer was lost.
BOOST_AUTO_TEST_CASE(a_lost_platform_answer_is_resolved_by_reading_back) {
    cluster system{cluster_options{}};
    system.platform().drop_write_responses(1);
    const command_result change = run_operator_command(system, put_service_arguments("op-1", 1234));
    BOOST_TEST(change.exit_code == 0, change.output);
    BOOST_TEST(wait_until(8s, [&system] { return all_hosts_have_version(system, 2); }));
}

// Guards against concurrent configuration changes that overwrite each other, and against hosts that
// have different configuration versions afterwards. Four operators send a change that expects the
// same version; one change succeeds and three are refused as conflicts.
BOOST_AUTO_TEST_CASE(one_of_several_concurrent_changes_succeeds) {
    cluster system{cluster_options{}};
    std::vector<int> exit_codes(4, -1);
    std::vector<std::thread> operators;
    for (std::size_t index = 0; index < exit_codes.size(); ++index) {
        operators.emplace_back([&system, &exit_codes, index] {
            const std::string operation_id = "op-" + std::to_string(index);
            exit_codes.at(index) =
                run_operator_command(system, put_service_arguments(operation_id, 1000), index)
                    .exit_code;
        });
    }
    for (std::thread& operator_thread : operators) {
        operator_thread.join();
    }
    BOOST_TEST(std::count(exit_codes.begin(), exit_codes.end(), 0) == 1);
    BOOST_TEST(std::count(exit_codes.begin(), exit_codes.end(), 1) == 3);
    BOOST_TEST(wait_until(8s, [&system] { return all_hosts_have_version(system, 2); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lovagemoor::testbed
