#include <lovagemoor/settings/host_settings.hpp>

#include "ini_reader.hpp"
#include "key_table.hpp"

#include <boost/outcome/try.hpp>

#include <set>
#include <utility>

namespace lovagemoor::settings {

namespace internal {

namespace {

result<void> check_consistency(const host_settings& settings) {
    if (settings.core.ping_timeout >= settings.core.ping_interval) {
        return error_at(settings_error_kind::inconsistent, "membership", "ping_timeout_ms",
                        "the value must be less than ping_interval_ms");
    }
    if (settings.core.reports_to_suspect > settings.core.observers_per_group) {
        return error_at(settings_error_kind::inconsistent, "promotion", "reports_to_suspect",
                        "the value must not exceed observers_per_group");
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
    return internal::parse_ini<host_settings>(input, file, internal::key_table(),
                                              internal::check_consistency);
}

result<host_settings> read_host_settings(const std::filesystem::path& file) {
    return internal::read_ini_file<host_settings>(file, internal::key_table(),
                                                  internal::check_consistency);
}

std::vector<key_description> describe_keys() {
    std::vector<key_description> descriptions;
    descriptions.reserve(internal::key_table().size());
    for (const internal::host_key_entry& entry : internal::key_table()) {
        descriptions.push_back(entry.description);
    }
    return descriptions;
}

std::string render_documentation() {
    return internal::render_ini(internal::key_table());
}

} // namespace lovagemoor::settings
