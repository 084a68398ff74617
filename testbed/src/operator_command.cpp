#include <lovagemoor/testbed/operator_command.hpp>

#include <lovagemoor/testbed/child_process.hpp>
#include <lovagemoor/testbed/cluster.hpp>
#include <lovagemoor/testbed/programs.hpp>

#include <chrono>

namespace lovagemoor::testbed {

namespace internal {

constexpr std::chrono::seconds command_timeout{30};

} // namespace internal

command_result run_operator_command(cluster& system, const std::vector<std::string>& arguments,
                                    std::size_t first_host) {
    std::string addresses;
    const std::vector<cluster_host>& hosts = system.hosts();
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const cluster_host& host = hosts.at((first_host + index) % hosts.size());
        addresses += (addresses.empty() ? "" : ",") + host.operator_address;
    }
    std::vector<std::string> command{operator_program(), "--hosts=" + addresses};
    command.insert(command.end(), arguments.begin(), arguments.end());
    child_process process{command, system.directory() + "/lovagemoorctl.log"};
    command_result result;
    result.output = process.read_output(internal::command_timeout);
    result.exit_code = process.wait_for_exit(internal::command_timeout).value_or(-1);
    return result;
}

} // namespace lovagemoor::testbed
