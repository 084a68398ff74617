#pragma once

#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::standin_target {

/// @brief Faults that the server itself applies.
struct fault_settings {
    /// Nothing is accepted, answered, executed or replicated; state is kept.
    bool frozen = false;
    /// Replication messages are dropped in both directions.
    bool replication_cut = false;
    /// SQLSTATE that new connections are refused with; empty accepts them.
    std::string reject_sqlstate;
    /// Clients by application_name whose bytes are neither read nor answered.
    std::set<std::string> isolated_clients;
};

/// @throw sql_error 22023 for text other than "on" and "off".
[[nodiscard]] bool parse_switch(const std::string& value);

/// @brief Splits text at commas; empty text gives no items.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

} // namespace lovagemoor::standin_target
