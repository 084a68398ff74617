#include "commands.hpp"
#include "help.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(hosts, "", "addresses of the hosts' administration API, ip:port,...");
DEFINE_string(output, "table", "table or json");
DEFINE_uint32(timeout_ms, 10'000, "time limit of each call to a host");
DEFINE_string(name, "", "name of the service");
DEFINE_string(groups, "", "database groups of the service, comma-separated");
DEFINE_uint32(max_staleness_ms, 0, "highest staleness that callers may accept");
DEFINE_uint32(connections, 20, "connections that the owner of one target may hold");
DEFINE_uint32(slots, 2, "statements that a target executes at a time");
DEFINE_string(durability, "replicated", "replicated or primary_only");
DEFINE_uint32(retention_s, 86'400, "how long idempotency keys are kept");
DEFINE_uint64(expected_version, 0,
              "version that the change is based on; 0 for the version in force");
DEFINE_string(operation_id, "", "identifier of the change; generated if empty");
DEFINE_string(host, "", "identifier of the host");
DEFINE_string(group, "", "identifier of the database group");

namespace {

namespace ctl = lovagemoor::ctl;
namespace proto = lovagemoor::operators::v1;

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream input{text};
    std::string part;
    while (std::getline(input, part, ',')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string generate_operation_id() {
    std::random_device random;
    std::ostringstream text;
    for (int word = 0; word < 4; ++word) {
        text << std::hex << random();
    }
    return text.str();
}

ctl::exit_code report_usage_error(const std::string& problem) {
    std::cerr << problem << "\nsee lovagemoorctl help\n";
    return ctl::exit_code::usage;
}

proto::ChangeConfigurationRequest make_change() {
    proto::ChangeConfigurationRequest request;
    request.set_expected_version(FLAGS_expected_version);
    request.set_operation_id(FLAGS_operation_id.empty() ? generate_operation_id()
                                                        : FLAGS_operation_id);
    return request;
}

ctl::exit_code put_service(const ctl::command_options& options) {
    if (FLAGS_groups.empty()) {
        return report_usage_error("--groups is missing");
    }
    if (FLAGS_durability != "replicated" && FLAGS_durability != "primary_only") {
        return report_usage_error("--durability must be replicated or primary_only");
    }
    proto::ChangeConfigurationRequest request = make_change();
    lovagemoor::records::v1::Service* service = request.mutable_change()->mutable_put();
    service->set_name(FLAGS_name);
    for (const std::string& group : split(FLAGS_groups)) {
        service->add_groups(group);
    }
    service->set_max_staleness_ms(FLAGS_max_staleness_ms);
    service->set_connections_per_target(FLAGS_connections);
    service->set_slots_per_target(FLAGS_slots);
    service->set_durability(FLAGS_durability == "replicated"
                                ? lovagemoor::records::v1::DURABILITY_REPLICATED
                                : lovagemoor::records::v1::DURABILITY_PRIMARY_ONLY);
    service->set_idempotency_retention_s(FLAGS_retention_s);
    return change_configuration(options, request);
}

ctl::exit_code run_service(const ctl::command_options& options, const std::string& action) {
    if (action == "list") {
        return list_services(options);
    }
    if (action != "put" && action != "remove") {
        return report_usage_error("the verb service must be followed by list, put or remove");
    }
    if (FLAGS_name.empty()) {
        return report_usage_error("--name is missing");
    }
    if (action == "put") {
        return put_service(options);
    }
    proto::ChangeConfigurationRequest request = make_change();
    request.mutable_change()->set_remove(FLAGS_name);
    return change_configuration(options, request);
}

ctl::exit_code run_verb(const ctl::command_options& options,
                        const std::vector<std::string>& words) {
    const std::string& verb = words.front();
    if (verb == "service") {
        return run_service(options, words.size() > 1 ? words.at(1) : std::string{});
    }
    if (verb == "status") {
        return show_status(options);
    }
    if (verb == "version") {
        return show_versions(options);
    }
    if (verb == "burn") {
        return show_burn(options);
    }
    if (verb == "drain") {
        return FLAGS_host.empty() ? report_usage_error("--host is missing")
                                  : drain_host(options, FLAGS_host);
    }
    if (verb == "promote") {
        return FLAGS_group.empty() ? report_usage_error("--group is missing")
                                   : promote_group(options, FLAGS_group);
    }
    return report_usage_error("unknown verb " + verb);
}

ctl::exit_code run(const std::vector<std::string>& words) {
    if (words.empty()) {
        return report_usage_error("a verb is missing");
    }
    if (words.front() == "help") {
        const std::string text = words.size() > 1 ? ctl::help_text(words.at(1)) : ctl::help_text();
        std::cout << text;
        return text.empty() ? report_usage_error("unknown verb") : ctl::exit_code::ok;
    }
    if (FLAGS_output != "table" && FLAGS_output != "json") {
        return report_usage_error("--output must be table or json");
    }
    std::vector<ctl::host_client> hosts = ctl::connect(split(FLAGS_hosts));
    if (hosts.empty()) {
        return report_usage_error("--hosts is missing");
    }
    return run_verb({hosts, FLAGS_output == "json", std::chrono::milliseconds{FLAGS_timeout_ms}},
                    words);
}

} // namespace

int main(int argc, char** argv) {
    try {
        gflags::SetUsageMessage(ctl::help_text());
        gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
        const bool help_requested =
            gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true";
        if (help_requested) {
            std::cout << ctl::help_text();
            return static_cast<int>(ctl::exit_code::ok);
        }
        return static_cast<int>(run({argv + 1, argv + argc}));
    } catch (const std::exception& error) {
        std::cerr << "lovagemoorctl: " << error.what() << "\n";
        return static_cast<int>(ctl::exit_code::unreachable);
    }
}
