#include <lovagemoor/settings/host_settings.hpp>

#include "key_table.hpp"
#include "value_parser.hpp"

#include <boost/outcome/try.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <utility>

namespace lovagemoor::settings {

namespace internal {

namespace {

using boost::property_tree::ptree;

settings_error error_at(settings_error_kind kind, std::string section, std::string key,
                        std::string reason) {
    return {kind, {}, std::move(section), std::move(key), std::move(reason)};
}

bool has_section(const std::string& name) {
    return std::any_of(key_table().begin(), key_table().end(), [&name](const key_entry& entry) {
        return entry.description.section == name;
    });
}

bool has_key(const std::string& section, const std::string& name) {
    return std::any_of(
        key_table().begin(), key_table().end(), [&section, &name](const key_entry& entry) {
            return entry.description.section == section && entry.description.name == name;
        });
}

result<void> check_names(const ptree& tree) {
    for (const auto& [section, keys] : tree) {
        if (!keys.data().empty()) {
            return error_at(settings_error_kind::unknown_key, {}, section,
                            "the key is outside of any section");
        }
        if (!has_section(section)) {
            return error_at(settings_error_kind::unknown_section, section, {},
                            "there is no such section");
        }
        for (const auto& [key, value] : keys) {
            if (!has_key(section, key)) {
                return error_at(settings_error_kind::unknown_key, section, key,
                                "there is no such key in this section");
            }
        }
    }
    return boost::outcome_v2::success();
}

/// @return The text of a key, empty when the file does not set it.
std::string text_of(const ptree& tree, const key_description& key) {
    const ptree::const_assoc_iterator section = tree.find(key.section);
    if (section == tree.not_found()) {
        return {};
    }
    const ptree::const_assoc_iterator found = section->second.find(key.name);
    return found == section->second.not_found() ? std::string{} : found->second.data();
}

result<host_settings> read_values(const ptree& tree) {
    host_settings settings;
    for (const key_entry& entry : key_table()) {
        const key_description& key = entry.description;
        const std::string text = text_of(tree, key);
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

result<void> check_consistency(const host_settings& settings) {
    if (settings.core.ping_timeout >= settings.core.ping_interval) {
        return error_at(settings_error_kind::inconsistent, "membership", "ping_timeout_ms",
                        "the timeout is not shorter than ping_interval_ms");
    }
    if (settings.core.reports_to_suspect > settings.core.observers_per_group) {
        return error_at(settings_error_kind::inconsistent, "promotion", "reports_to_suspect",
                        "the number is above observers_per_group");
    }
    std::set<core::host_id> seeds;
    for (const seed_host& seed : settings.seeds) {
        if (!seeds.insert(seed.id).second) {
            return error_at(settings_error_kind::inconsistent, "membership", "seeds",
                            "host " + seed.id.value + " is listed twice");
        }
    }
    return boost::outcome_v2::success();
}

result<host_settings> parse(std::istream& input) {
    ptree tree;
    try {
        boost::property_tree::read_ini(input, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return error_at(settings_error_kind::syntax, {}, {},
                        "line " + std::to_string(error.line()) + ": " + error.message());
    }
    BOOST_OUTCOME_TRY(check_names(tree));
    BOOST_OUTCOME_TRY(settings, read_values(tree));
    BOOST_OUTCOME_TRY(check_consistency(settings));
    return settings;
}

std::string comment_of(const key_description& key) {
    std::string text = "; " + key.documentation + "\n; Type: " + key.type;
    if (!key.unit.empty()) {
        text += " (" + key.unit + ")";
    }
    if (!key.range.empty()) {
        text += ", from " + key.range;
    }
    return text + (key.required ? ". Required.\n" : ".\n");
}

} // namespace

} // namespace internal

std::string to_string(const settings_error& error) {
    std::string text = error.file + ": ";
    if (!error.section.empty()) {
        text += "[" + error.section + "] ";
    }
    if (!error.key.empty()) {
        text += error.key + ": ";
    }
    return text + error.reason;
}

result<host_settings> parse_host_settings(std::istream& input, const std::string& file) {
    result<host_settings> parsed = internal::parse(input);
    if (parsed.has_error()) {
        settings_error error = std::move(parsed).error();
        error.file = file;
        return error;
    }
    return parsed;
}

result<host_settings> read_host_settings(const std::filesystem::path& file) {
    std::ifstream input{file};
    if (!input || std::filesystem::is_directory(file)) {
        settings_error error =
            internal::error_at(settings_error_kind::unreadable, {}, {}, "the file cannot be read");
        error.file = file.string();
        return error;
    }
    return parse_host_settings(input, file.string());
}

std::vector<key_description> describe_keys() {
    std::vector<key_description> descriptions;
    descriptions.reserve(internal::key_table().size());
    for (const internal::key_entry& entry : internal::key_table()) {
        descriptions.push_back(entry.description);
    }
    return descriptions;
}

std::string render_documentation() {
    std::string text;
    std::string section;
    for (const internal::key_entry& entry : internal::key_table()) {
        const key_description& key = entry.description;
        if (key.section != section) {
            text += (section.empty() ? "[" : "\n[") + key.section + "]\n";
            section = key.section;
        }
        text += internal::comment_of(key);
        text += key.name + " =" + (key.default_value.empty() ? "" : " " + key.default_value) + "\n";
    }
    return text;
}

} // namespace lovagemoor::settings
