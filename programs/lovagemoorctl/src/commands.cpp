#include "commands.hpp"

#include "output.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace lovagemoor::ctl {

namespace {

/// Calls all hosts. Adds those that do not answer to unanswered_hosts and reports them on standard
/// error.
template <typename Request, typename Response>
std::vector<std::pair<std::string, Response>> call_all_hosts(
    const command_options& options, const Request& request,
    grpc::Status (proto::Operators::Stub::*method)(grpc::ClientContext*, const Request&, Response*),
    std::vector<std::string>& unanswered_hosts) {
    std::vector<std::pair<std::string, Response>> answers;
    for (const host_client& host : options.hosts) {
        grpc::ClientContext context;
        set_deadline(context, options.timeout);
        Response response;
        if (((*host.stub).*method)(&context, request, &response).ok()) {
            answers.emplace_back(host.address, std::move(response));
        } else {
            unanswered_hosts.push_back(host.address);
            std::cerr << "no answer from " << host.address << "\n";
        }
    }
    return answers;
}

/// Calls one host after the other until one answers. A call that may have reached a host is sent to
/// another host only if it is repeatable, that is, if executing it twice is harmless.
template <typename Request, typename Response>
call_result call_first_available(
    const command_options& options, const Request& request, Response& response,
    grpc::Status (proto::Operators::Stub::*method)(grpc::ClientContext*, const Request&, Response*),
    bool repeatable) {
    call_result result = call_result::not_sent;
    for (const host_client& host : options.hosts) {
        grpc::ClientContext context;
        set_deadline(context, options.timeout);
        const call_result ended =
            to_call_result(((*host.stub).*method)(&context, request, &response));
        if (ended == call_result::answered) {
            return ended;
        }
        std::cerr << "no answer from " << host.address << "\n";
        if (ended == call_result::outcome_unknown) {
            result = ended;
            if (!repeatable) {
                return result;
            }
        }
    }
    return result;
}

exit_code exit_code_of(call_result result) {
    return result == call_result::outcome_unknown ? exit_code::unknown : exit_code::unreachable;
}

std::string yes_no(bool value) {
    return value ? "yes" : "no";
}

void print_json_answers(const std::vector<std::string>& answers,
                        const std::vector<std::string>& unanswered_hosts) {
    std::cout << "{\"hosts\":[";
    for (std::size_t index = 0; index < answers.size(); ++index) {
        std::cout << (index == 0 ? "" : ",") << answers[index];
    }
    std::cout << "],\"silent\":" << render_json(unanswered_hosts) << "}\n";
}

template <typename Response>
exit_code print_json(const std::vector<std::pair<std::string, Response>>& answers,
                     const std::vector<std::string>& unanswered_hosts) {
    std::vector<std::string> texts;
    texts.reserve(answers.size());
    for (const auto& [address, response] : answers) {
        texts.push_back(render_json(response));
    }
    print_json_answers(texts, unanswered_hosts);
    return answers.empty() ? exit_code::unreachable : exit_code::ok;
}

exit_code exit_code_of(proto::ChangeResult result) {
    switch (result) {
    case proto::CHANGE_RESULT_ACCEPTED:
        return exit_code::ok;
    case proto::CHANGE_RESULT_CONFLICT:
    case proto::CHANGE_RESULT_INVALID:
        return exit_code::refused;
    case proto::CHANGE_RESULT_PLATFORM_UNAVAILABLE:
        return exit_code::unreachable;
    default:
        return exit_code::unknown;
    }
}

std::string name_of(proto::ChangeResult result) {
    static const std::string prefix = "CHANGE_RESULT_";
    std::string name = proto::ChangeResult_Name(result).substr(prefix.size());
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return name;
}

text_table member_table(const std::vector<std::pair<std::string, proto::StatusResponse>>& answers) {
    text_table table{{"SEEN BY", "HOST", "DOMAIN", "STATE", "VERSION", "CALLERS"}, {}};
    for (const auto& [address, response] : answers) {
        for (const proto::MemberStatus& member : response.members()) {
            table.rows.push_back({response.host(), member.host(), member.failure_domain(),
                                  member.state(), std::to_string(member.configuration_version()),
                                  member.caller_address()});
        }
    }
    return table;
}

/// Lists each target once: as its owner reports it, or else as the first host that answered does.
text_table target_table(const std::vector<std::pair<std::string, proto::StatusResponse>>& answers) {
    std::map<std::string, proto::TargetStatus> targets;
    for (const auto& [address, response] : answers) {
        for (const proto::TargetStatus& target : response.targets()) {
            if (target.owner() == response.host() || !targets.contains(target.target())) {
                targets[target.target()] = target;
            }
        }
    }
    text_table table{{"TARGET", "GROUP", "OWNER", "PRIMARY", "REACHABLE", "LEAVING", "TERM",
                      "POSITION", "AGE MS", "QUEUED", "RUNNING", "CONNECTIONS"},
                     {}};
    for (const auto& [id, target] : targets) {
        table.rows.push_back({id, target.group(), target.owner(), yes_no(target.primary()),
                              yes_no(target.reachable()), yes_no(target.leaving()),
                              std::to_string(target.term()), std::to_string(target.position()),
                              std::to_string(target.age_ms()), std::to_string(target.queued()),
                              std::to_string(target.running()),
                              std::to_string(target.connections())});
    }
    return table;
}

std::string percent(std::uint64_t part, std::uint64_t whole) {
    constexpr double hundred = 100;
    std::array<char, 32> text{};
    const double share =
        whole == 0 ? 0 : hundred * static_cast<double>(part) / static_cast<double>(whole);
    std::snprintf(text.data(), text.size(), "%.3f", share);
    return text.data();
}

} // namespace

exit_code list_services(const command_options& options) {
    proto::GetConfigurationResponse response;
    const call_result result =
        call_first_available(options, proto::GetConfigurationRequest{}, response,
                             &proto::Operators::Stub::GetConfiguration, true);
    if (result != call_result::answered) {
        return exit_code::unreachable;
    }
    if (options.json) {
        std::cout << render_json(response) << "\n";
        return exit_code::ok;
    }
    text_table table{{"SERVICE", "GROUPS", "MAX STALENESS MS", "CONNECTIONS", "SLOTS", "DURABILITY",
                      "RETENTION S"},
                     {}};
    for (const records::v1::Service& service : response.configuration().services()) {
        std::string groups;
        for (const std::string& group : service.groups()) {
            groups += (groups.empty() ? "" : ",") + group;
        }
        table.rows.push_back({service.name(), groups, std::to_string(service.max_staleness_ms()),
                              std::to_string(service.connections_per_target()),
                              std::to_string(service.slots_per_target()),
                              service.durability() == records::v1::DURABILITY_PRIMARY_ONLY
                                  ? "primary_only"
                                  : "replicated",
                              std::to_string(service.idempotency_retention_s())});
    }
    std::cout << "version " << response.configuration().version() << "\n" << render(table);
    return exit_code::ok;
}

exit_code change_configuration(const command_options& options,
                               const proto::ChangeConfigurationRequest& request) {
    proto::ChangeConfigurationResponse response;
    // The call is repeatable, because hosts recognize a repeat by its operation identifier.
    const call_result result = call_first_available(
        options, request, response, &proto::Operators::Stub::ChangeConfiguration, true);
    if (result != call_result::answered) {
        return exit_code_of(result);
    }
    if (options.json) {
        std::cout << render_json(response) << "\n";
    } else {
        std::cout << name_of(response.result()) << " version " << response.version() << " "
                  << response.detail() << "\n";
    }
    return exit_code_of(response.result());
}

exit_code show_status(const command_options& options) {
    std::vector<std::string> unanswered_hosts;
    const std::vector<std::pair<std::string, proto::StatusResponse>> answers = call_all_hosts(
        options, proto::StatusRequest{}, &proto::Operators::Stub::Status, unanswered_hosts);
    if (options.json) {
        return print_json(answers, unanswered_hosts);
    }
    std::cout << render(member_table(answers)) << "\n" << render(target_table(answers));
    return answers.empty() ? exit_code::unreachable : exit_code::ok;
}

exit_code show_versions(const command_options& options) {
    std::vector<std::string> unanswered_hosts;
    std::vector<std::pair<std::string, proto::StatusResponse>> answers = call_all_hosts(
        options, proto::StatusRequest{}, &proto::Operators::Stub::Status, unanswered_hosts);
    if (options.json) {
        for (auto& [address, response] : answers) {
            response.clear_members();
            response.clear_targets();
        }
        return print_json(answers, unanswered_hosts);
    }
    text_table table{{"HOST", "VERSION"}, {}};
    for (const auto& [address, response] : answers) {
        table.rows.push_back({response.host(), std::to_string(response.configuration_version())});
    }
    std::cout << render(table);
    return answers.empty() ? exit_code::unreachable : exit_code::ok;
}

exit_code drain_host(const command_options& options, const std::string& host) {
    std::vector<std::string> unanswered_hosts;
    proto::DrainRequest request;
    request.set_host(host);
    for (const auto& [address, status] : call_all_hosts(
             options, proto::StatusRequest{}, &proto::Operators::Stub::Status, unanswered_hosts)) {
        if (status.host() != host) {
            continue;
        }
        std::vector<host_client> receiver = connect({address});
        proto::DrainResponse response;
        const call_result result =
            call_first_available({receiver, options.json, options.timeout}, request, response,
                                 &proto::Operators::Stub::Drain, true);
        if (result == call_result::answered) {
            std::cout << host << " is draining, requests in progress "
                      << response.requests_in_progress() << "\n";
            return exit_code::ok;
        }
        return exit_code_of(result);
    }
    std::cerr << "none of the hosts that answered is host " << host << "\n";
    return exit_code::unreachable;
}

exit_code promote_group(const command_options& options, const std::string& group) {
    proto::PromoteRequest request;
    request.set_group(group);
    proto::PromoteResponse response;
    const call_result result =
        call_first_available(options, request, response, &proto::Operators::Stub::Promote, false);
    if (result != call_result::answered) {
        return exit_code_of(result);
    }
    std::cout << (response.started() ? "started" : "refused") << " " << response.detail() << "\n";
    return response.started() ? exit_code::ok : exit_code::refused;
}

exit_code show_burn(const command_options& options) {
    std::vector<std::string> unanswered_hosts;
    const std::vector<std::pair<std::string, proto::BurnResponse>> answers = call_all_hosts(
        options, proto::BurnRequest{}, &proto::Operators::Stub::Burn, unanswered_hosts);
    if (options.json) {
        return print_json(answers, unanswered_hosts);
    }
    using burn_key = std::tuple<std::string, std::string, std::uint32_t>;
    std::map<burn_key, std::pair<std::uint64_t, std::uint64_t>> merged;
    for (const auto& [address, response] : answers) {
        for (const proto::BurnEntry& entry : response.entries()) {
            std::pair<std::uint64_t, std::uint64_t>& counts =
                merged[{entry.service(), entry.urgency(), entry.window_s()}];
            counts.first += entry.good();
            counts.second += entry.bad();
        }
    }
    text_table table{{"SERVICE", "URGENCY", "WINDOW S", "GOOD", "BAD", "BAD %"}, {}};
    for (const auto& [key, counts] : merged) {
        table.rows.push_back({std::get<0>(key), std::get<1>(key), std::to_string(std::get<2>(key)),
                              std::to_string(counts.first), std::to_string(counts.second),
                              percent(counts.second, counts.first + counts.second)});
    }
    std::cout << render(table);
    return answers.empty() ? exit_code::unreachable : exit_code::ok;
}

} // namespace lovagemoor::ctl
