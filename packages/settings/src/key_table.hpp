#pragma once

#include <lovagemoor/settings/host_settings.hpp>

#include <boost/outcome/try.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lovagemoor::settings::internal {

/// @brief A settings key: its documentation, and the function that parses and stores its value.
template <typename Settings>
struct key_entry {
    key_description description;
    /// Parses a non-empty text and stores the value in the settings.
    std::function<result<void>(Settings& settings, const std::string& text)> store;
};

/// @brief The keys of one settings type, grouped by section.
template <typename Settings>
using key_list = std::vector<key_entry<Settings>>;

/// @brief Makes a key from a function that parses its text and one that stores the parsed value.
template <typename Settings, typename Parse, typename Store>
key_entry<Settings> text_key(key_description description, Parse parse, Store store) {
    return {std::move(description),
            [parse, store](Settings& settings, const std::string& text) -> result<void> {
                BOOST_OUTCOME_TRY(value, parse(text));
                store(settings, std::move(value));
                return boost::outcome_v2::success();
            }};
}

using host_key_entry = key_entry<host_settings>;

/// @return The keys of host_settings.
[[nodiscard]] const key_list<host_settings>& key_table();

} // namespace lovagemoor::settings::internal
