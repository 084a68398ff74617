#include "member_list.hpp"

#include "fault_settings.hpp"
#include "sql_error.hpp"

#include <charconv>

namespace lovagemoor::standin_target {

namespace {

std::uint16_t parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), port);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        throw sql_error("22023", "invalid port in the list of members");
    }
    return port;
}

} // namespace

std::map<std::string, member_ports> parse_members(std::string_view text) {
    std::map<std::string, member_ports> members;
    for (const std::string& item : split_list(text)) {
        const std::size_t equals = item.find('=');
        const std::size_t colon = item.find(':');
        if (equals == std::string::npos || colon == std::string::npos || colon < equals) {
            throw sql_error("22023", "a member must have the form id=port:replication_port");
        }
        const std::string_view view = item;
        members[item.substr(0, equals)] = {parse_port(view.substr(equals + 1, colon - equals - 1)),
                                           parse_port(view.substr(colon + 1))};
    }
    return members;
}

} // namespace lovagemoor::standin_target
