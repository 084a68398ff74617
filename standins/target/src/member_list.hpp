#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace lovagemoor::standin_target {

struct member_ports {
    std::uint16_t client = 0;
    std::uint16_t replication = 0;
};

/// @brief Parses a list of group members in the form id=port:replication_port, for example
/// "a=5001:6001,b=5002:6002".
/// @throw sql_error 22023 if the text does not have this form.
[[nodiscard]] std::map<std::string, member_ports> parse_members(std::string_view text);

} // namespace lovagemoor::standin_target
