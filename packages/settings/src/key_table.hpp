#pragma once

#include <lovagemoor/settings/host_settings.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lovagemoor::settings::internal {

/// @brief One key: its documentation and how its value is stored.
template <typename Settings>
struct key_entry {
    key_description description;
    /// Parses a text that is not empty into the settings.
    std::function<result<void>(Settings& settings, const std::string& text)> store;
};

/// @brief All keys of a kind of settings, grouped by section.
template <typename Settings>
using key_list = std::vector<key_entry<Settings>>;

using host_key = key_entry<host_settings>;

[[nodiscard]] const key_list<host_settings>& key_table();

} // namespace lovagemoor::settings::internal
