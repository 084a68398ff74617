#pragma once

#include "key_table.hpp"

#include <lovagemoor/settings/settings_error.hpp>

#include <boost/outcome/try.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <istream>
#include <string>
#include <utility>
#include <vector>

/// @file
/// @brief Functions that read settings in INI format, and render their documentation, for any table
/// of keys.

namespace lovagemoor::settings::internal {

using boost::property_tree::ptree;

inline settings_error error_at(settings_error_kind kind, std::string section, std::string key,
                               std::string reason) {
    return {kind, {}, std::move(section), std::move(key), std::move(reason)};
}

template <typename Settings>
bool has_section(const key_list<Settings>& table, const std::string& name) {
    return std::any_of(table.begin(), table.end(), [&name](const key_entry<Settings>& entry) {
        return entry.description.section == name;
    });
}

template <typename Settings>
bool has_key(const key_list<Settings>& table, const std::string& section, const std::string& name) {
    return std::any_of(
        table.begin(), table.end(), [&section, &name](const key_entry<Settings>& entry) {
            return entry.description.section == section && entry.description.name == name;
        });
}

template <typename Settings>
result<void> check_names(const key_list<Settings>& table, const ptree& tree) {
    for (const auto& [section, keys] : tree) {
        if (!keys.data().empty()) {
            return error_at(settings_error_kind::unknown_key, {}, section,
                            "the key is outside of any section");
        }
        if (!has_section(table, section)) {
            return error_at(settings_error_kind::unknown_section, section, {},
                            "there is no such section");
        }
        for (const auto& [key, value] : keys) {
            if (!has_key(table, section, key)) {
                return error_at(settings_error_kind::unknown_key, section, key,
                                "there is no such key in this section");
            }
        }
    }
    return boost::outcome_v2::success();
}

/// @return The value of a key as text; empty if the file does not set the key.
inline std::string value_text(const ptree& tree, const key_description& key) {
    const ptree::const_assoc_iterator section = tree.find(key.section);
    if (section == tree.not_found()) {
        return {};
    }
    const ptree::const_assoc_iterator found = section->second.find(key.name);
    return found == section->second.not_found() ? std::string{} : found->second.data();
}

template <typename Settings>
result<Settings> read_values(const key_list<Settings>& table, const ptree& tree) {
    Settings settings;
    for (const key_entry<Settings>& entry : table) {
        const key_description& key = entry.description;
        const std::string text = value_text(tree, key);
        if (text.empty()) {
            if (key.required) {
                return error_at(settings_error_kind::missing_key, key.section, key.name,
                                "the key is required");
            }
            continue;
        }
        result<void> stored = entry.store(settings, text);
        if (stored.has_error()) {
            return error_at(stored.error().kind, key.section, key.name, stored.error().reason);
        }
    }
    return settings;
}

/// @brief Checks that the values fit together. An error names the section and the key at fault.
template <typename Settings>
using consistency_check = std::function<result<void>(const Settings&)>;

template <typename Settings>
result<Settings> parse_values(std::istream& input, const key_list<Settings>& table,
                              const consistency_check<Settings>& check) {
    ptree tree;
    try {
        boost::property_tree::read_ini(input, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return error_at(settings_error_kind::syntax, {}, {},
                        "line " + std::to_string(error.line()) + ": " + error.message());
    }
    BOOST_OUTCOME_TRY(check_names(table, tree));
    BOOST_OUTCOME_TRY(settings, read_values(table, tree));
    BOOST_OUTCOME_TRY(check(settings));
    return settings;
}

/// @param file File name for error messages.
template <typename Settings>
result<Settings> parse_ini(std::istream& input, const std::string& file,
                           const key_list<Settings>& table,
                           const consistency_check<Settings>& check) {
    result<Settings> parsed = parse_values(input, table, check);
    if (parsed.has_error()) {
        settings_error error = std::move(parsed).error();
        error.file = file;
        return error;
    }
    return parsed;
}

template <typename Settings>
result<Settings> read_ini_file(const std::filesystem::path& file, const key_list<Settings>& table,
                               const consistency_check<Settings>& check) {
    std::ifstream input{file};
    if (!input || std::filesystem::is_directory(file)) {
        settings_error error =
            error_at(settings_error_kind::unreadable, {}, {}, "the file cannot be read");
        error.file = file.string();
        return error;
    }
    return parse_ini(input, file.string(), table, check);
}

inline std::string render_comment(const key_description& key) {
    std::string text = "; " + key.documentation + "\n; Type: " + key.type;
    if (!key.unit.empty()) {
        text += " (" + key.unit + ")";
    }
    if (!key.range.empty()) {
        text += ", from " + key.range;
    }
    return text + (key.required ? ". Required.\n" : ".\n");
}

/// @return An INI file with all keys at their defaults and their documentation as comments.
template <typename Settings>
std::string render_ini(const key_list<Settings>& table) {
    std::string text;
    std::string section;
    for (const key_entry<Settings>& entry : table) {
        const key_description& key = entry.description;
        if (key.section != section) {
            text += (section.empty() ? "[" : "\n[") + key.section + "]\n";
            section = key.section;
        }
        text += render_comment(key);
        text += key.name + " =" + (key.default_value.empty() ? "" : " " + key.default_value) + "\n";
    }
    return text;
}

} // namespace lovagemoor::settings::internal
