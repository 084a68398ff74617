#pragma once

#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagemoor::standin_target {

/// @brief Faults that the server injects.
struct fault_settings {
    /// The server accepts, answers, executes and replicates nothing, but keeps its state.
    bool frozen = false;
    /// Replication messages are dropped in both directions.
    bool replication_cut = false;
    /// SQLSTATE with which new connections are refused; if empty, they are accepted.
    std::string reject_sqlstate;
    /// Values of application_name whose connections are neither read from nor written to.
    std::set<std::string> isolated_clients;
};

/// @return True for "on", false for "off".
/// @throw sql_error 22023 for any other text.
[[nodiscard]] bool parse_switch(const std::string& value);

/// @brief Splits text at commas; an empty text has no items.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

} // namespace lovagemoor::standin_target
