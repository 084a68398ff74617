#include "help.hpp"

#include <array>
#include <string_view>

namespace lovagemoor::ctl {

namespace {

struct verb_help {
    std::string_view verb;
    std::string_view text;
};

constexpr std::array<verb_help, 7> verbs{{
    {"service",
     "  service list\n"
     "      Shows the services of the configuration in force.\n"
     "  service put --name=NAME --groups=G1,G2 [--max_staleness_ms=N] [--connections=N]\n"
     "          [--slots=N] [--durability=replicated|primary_only] [--retention_s=N]\n"
     "          [--expected_version=V] [--operation_id=ID]\n"
     "      Creates or replaces a service. With --expected_version the change conflicts\n"
     "      when another one came first. A repeat with the same --operation_id is\n"
     "      answered with the result of the first.\n"
     "  service remove --name=NAME [--expected_version=V] [--operation_id=ID]\n"
     "      Removes a service.\n"},
    {"status", "  status\n"
               "      Shows hosts and targets as the hosts that answer see them.\n"},
    {"version", "  version\n"
                "      Shows the configuration version in force on each host.\n"},
    {"drain", "  drain --host=ID\n"
              "      Starts the graceful stop of a host.\n"},
    {"promote", "  promote --group=ID\n"
                "      Moves a group's primary to another target.\n"},
    {"burn", "  burn\n"
             "      Shows the share of failed requests for each service and urgency over several\n"
             "      windows, merged over the hosts that answer.\n"},
    {"help", "  help [VERB]\n"
             "      Shows the help for all verbs or for one verb.\n"},
}};

constexpr std::string_view introduction =
    "administers hosts of the database proxy\n\n"
    "  lovagemoorctl --hosts=IP:PORT[,IP:PORT...] [--output=table|json] VERB ...\n\n";

constexpr std::string_view conclusion =
    "\nStatus, version and burn ask all hosts and name those that do not answer; other verbs go\n"
    "to the first host that answers.\n"
    "Exit codes: 0 ok, 1 refused or conflict, 2 usage, 3 unreachable, 4 outcome unknown.\n";

} // namespace

std::string help_text() {
    std::string text{introduction};
    for (const verb_help& entry : verbs) {
        text += entry.text;
    }
    return text += conclusion;
}

std::string help_text(const std::string& verb) {
    for (const verb_help& entry : verbs) {
        if (entry.verb == verb) {
            return std::string{entry.text};
        }
    }
    return {};
}

} // namespace lovagemoor::ctl
