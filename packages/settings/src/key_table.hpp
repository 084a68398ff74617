#pragma once

#include <lovagemoor/settings/host_settings.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lovagemoor::settings::internal {

/// @brief One key: its documentation and how its value is stored.
struct key_entry {
    key_description description;
    /// Parses a text that is not empty into the settings.
    std::function<result<void>(host_settings& settings, const std::string& text)> store;
};

/// @return All keys, grouped by section.
[[nodiscard]] const std::vector<key_entry>& key_table();

} // namespace lovagemoor::settings::internal
