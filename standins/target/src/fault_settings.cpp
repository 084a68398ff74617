#include "fault_settings.hpp"

#include "sql_error.hpp"

namespace lovagemoor::standin_target {

bool parse_switch(const std::string& value) {
    if (value != "on" && value != "off") {
        throw sql_error("22023", "value must be on or off");
    }
    return value == "on";
}

std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> items;
    while (!text.empty()) {
        const std::size_t end = text.find(',');
        items.emplace_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return items;
}

} // namespace lovagemoor::standin_target
