#include <lovagemoor/settings/session_settings.hpp>

#include "ini_reader.hpp"
#include "value_parser.hpp"

#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

namespace lovagemoor::settings {

namespace internal {

namespace {

using session_key_entry = key_entry<session_settings>;

session_key_entry address_key(std::string section, std::string name, bool required, bool listens,
                              std::string session_settings::*field, std::string documentation) {
    return text_key<session_settings>(
        {std::move(section), std::move(name), "ip:port", "", "", "", required,
         std::move(documentation)},
        [listens](const std::string& text) { return parse_address(text, listens); },
        [field](session_settings& settings, std::string value) {
            settings.*field = std::move(value);
        });
}

/// @brief Makes a key for a whole number in a range, stored as a duration or a count.
template <typename Value>
session_key_entry range_key(std::string section, std::string name, std::string unit,
                            std::int64_t initial, std::int64_t lowest, std::int64_t highest,
                            Value session_settings::*field, std::string documentation) {
    const std::string range = std::to_string(lowest) + " to " + std::to_string(highest);
    return text_key<session_settings>(
        {std::move(section), std::move(name), "whole number", std::move(unit), range,
         std::to_string(initial), false, std::move(documentation)},
        [lowest, highest, range](const std::string& text) {
            return parse_in_range<std::int64_t>(text, lowest, highest, range);
        },
        [field](session_settings& settings, std::int64_t value) {
            settings.*field = Value(value);
        });
}

/// @brief Makes a key for a number, which may have a fraction.
session_key_entry number_key(std::string section, std::string name, double highest,
                             double session_settings::*field, std::string documentation) {
    const double initial = session_settings{}.*field;
    const std::string range = "0 to " + std::to_string(static_cast<std::int64_t>(highest));
    return text_key<session_settings>(
        {std::move(section), std::move(name), "number", "", range,
         std::to_string(static_cast<std::int64_t>(initial)), false, std::move(documentation)},
        [highest, range](const std::string& text) {
            return parse_in_range<double>(text, 0, highest, range);
        },
        [field](session_settings& settings, double value) { settings.*field = value; });
}

/// @brief Accepts domain:region pairs, separated by commas.
result<std::map<core::domain_id, std::string>> parse_domain_regions(const std::string& text) {
    std::map<core::domain_id, std::string> regions;
    for (const std::string& pair : split_list(text)) {
        const std::size_t colon = pair.find(':');
        if (colon == std::string::npos) {
            return value_error(settings_error_kind::wrong_type, pair + " is not domain:region");
        }
        BOOST_OUTCOME_TRY(domain, parse_name(pair.substr(0, colon)));
        BOOST_OUTCOME_TRY(region, parse_name(pair.substr(colon + 1)));
        regions[core::domain_id{domain}] = region;
    }
    return regions;
}

constexpr std::int64_t one_minute_ms = 60'000;

/// @name Highest values of the limits of a machine and of a quota's slack
/// @{
constexpr double max_cores = 1024;
constexpr std::int64_t max_memory_mb = 1'000'000;
constexpr std::int64_t max_descriptor_count = 10'000'000;
constexpr double max_quota_slack = 1e6;
/// The rest is needed by the process at rest, connections to targets and messages in progress.
constexpr std::int64_t max_caller_memory_percent = 90;

/// @}

/// @brief Makes a key for a duration in seconds, which may have a fraction.
session_key_entry seconds_key(std::string section, std::string name,
                              std::chrono::milliseconds initial,
                              std::chrono::milliseconds session_settings::*field,
                              std::string documentation) {
    constexpr double shortest = 0.1;
    constexpr double longest = 60;
    constexpr const char* range = "0.1 to 60";
    return text_key<session_settings>(
        {std::move(section), std::move(name), "number", "s", range,
         std::to_string(initial.count() / 1000), false, std::move(documentation)},
        [](const std::string& text) {
            return parse_in_range<double>(text, shortest, longest, range);
        },
        [field](session_settings& settings, double value) {
            settings.*field = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>{value});
        });
}

/// @return The keys for organisations and for the limits on callers.
key_list<session_settings> make_caller_table() {
    const session_settings initial;
    return {
        range_key("organisations", "key_withdrawal_ms", "ms", 0, 0, one_minute_ms,
                  &session_settings::key_withdrawal,
                  "Time after its withdrawal for which a key may still be used; 0 for no bound."),
        seconds_key("organisations", "quota_window_s", std::chrono::milliseconds{0},
                    &session_settings::quota_window,
                    "Length of the windows in which quotas hold; without it, there are none."),
        number_key("organisations", "quota_overage", 1, &session_settings::quota_overage,
                   "Fraction by which a quota may be exceeded in a window."),
        number_key("organisations", "quota_slack", max_quota_slack, &session_settings::quota_slack,
                   "Operations by which a quota may be exceeded in a window."),
        range_key("callers", "memory_percent", "%",
                  static_cast<std::int64_t>(initial.caller_memory_percent), 0,
                  max_caller_memory_percent, &session_settings::caller_memory_percent,
                  "Part of [host] memory_mb that may be held for callers; 0 for no limit."),
        range_key("callers", "reserved_descriptors", "",
                  static_cast<std::int64_t>(initial.reserved_descriptors), 16, 100'000,
                  &session_settings::reserved_descriptors,
                  "File descriptors that callers leave to targets, the registry, other hosts and "
                  "probes; at most half of all."),
        seconds_key("callers", "start_timeout_s", initial.start_timeout,
                    &session_settings::start_timeout,
                    "Time without progress after which a connection without a complete first line "
                    "is closed."),
        seconds_key("callers", "message_timeout_s", initial.message_timeout,
                    &session_settings::message_timeout,
                    "Time without progress after which a connection with an incomplete message is "
                    "closed."),
        seconds_key("callers", "answer_timeout_s", initial.answer_timeout,
                    &session_settings::answer_timeout,
                    "Time without progress after which a connection with unread answers is "
                    "closed."),
        range_key("callers", "max_answer_mb", "MB",
                  static_cast<std::int64_t>(initial.max_answer_mb), 1, 1024,
                  &session_settings::max_answer_mb,
                  "Largest answer of a target that is passed on; at most a quarter of the memory "
                  "for callers."),
    };
}

key_list<session_settings> make_session_table() {
    const session_settings initial;
    key_list<session_settings> table{
        text_key<session_settings>(
            {"host", "id", "name", "", "", "", true, "Unique name of this host."}, parse_name,
            [](session_settings& settings, std::string value) {
                settings.id.value = std::move(value);
            }),
        text_key<session_settings>({"host", "failure_domain", "name", "", "", "", true,
                                    "Failure domain in which this host runs."},
                                   parse_name,
                                   [](session_settings& settings, std::string value) {
                                       settings.domain.value = std::move(value);
                                   }),
        text_key<session_settings>({"host", "region", "name", "", "", "", false,
                                    "Region in which this host runs; empty for a single one."},
                                   parse_name,
                                   [](session_settings& settings, std::string value) {
                                       settings.region = std::move(value);
                                   }),
        text_key<session_settings>(
            {"host", "domain_regions", "list of domain:region", "", "", "", false,
             "Region of each failure domain."},
            parse_domain_regions,
            [](session_settings& settings, std::map<core::domain_id, std::string> value) {
                settings.domain_regions = std::move(value);
            }),
        number_key("host", "cpu_share", max_cores, &session_settings::cpu_share,
                   "Share of a core that this host may use."),
        range_key("host", "memory_mb", "MB", 0, 0, max_memory_mb, &session_settings::memory_mb,
                  "Memory that this process may use; 0 for no limit."),
        range_key("host", "max_descriptors", "", 0, 0, max_descriptor_count,
                  &session_settings::max_descriptors,
                  "File descriptors that this process may use; 0 for no limit."),
        address_key("host", "caller_listen", true, true, &session_settings::caller_listen,
                    "Address for callers' sessions."),
        address_key("host", "ready_listen", true, true, &session_settings::ready_listen,
                    "HTTP address for the load balancer's probes."),
        address_key("host", "metrics_listen", false, true, &session_settings::metrics_listen,
                    "HTTP address for Prometheus; empty for no metrics endpoint."),
        range_key("host", "max_sessions", "", static_cast<std::int64_t>(initial.max_sessions), 1,
                  1'000'000, &session_settings::max_sessions,
                  "Limit on the open connections of callers; further ones are closed."),
        seconds_key("host", "stop_grace_s", initial.stop_grace, &session_settings::stop_grace,
                    "Time between the request to stop this host and the kill of its process."),
        address_key("registry", "address", true, false, &session_settings::registry_address,
                    "Address of the platform's key-value store."),
        address_key(
            "registry", "promotion_address", false, false, &session_settings::promotion_address,
            "Address of the promotion endpoint; empty if this host does not promote targets."),
        range_key("registry", "call_timeout_ms", "ms", initial.call_timeout.count(), 50,
                  one_minute_ms, &session_settings::call_timeout,
                  "Time limit of a call to the registry or to the promotion endpoint."),
        range_key("targets", "drain_ms", "ms", initial.target_drain.count(), 100, one_minute_ms,
                  &session_settings::target_drain,
                  "Time between the notice that a target is draining and its stop."),
        address_key("link", "listen", false, true, &session_settings::link_listen,
                    "Address for other hosts; empty if hosts do not exchange messages."),
        range_key("link", "relay_threshold", "", static_cast<std::int64_t>(initial.relay_threshold),
                  0, 1'000'000, &session_settings::relay_threshold,
                  "Calls that read the registry go through relays if more hosts than this are "
                  "linked."),
        text_key<session_settings>({"log", "level", "debug, info, warning or error", "", "", "info",
                                    false, "Lowest level of events that are logged."},
                                   parse_level,
                                   [](session_settings& settings, core::log_event::level value) {
                                       settings.log_level = value;
                                   }),
    };
    key_list<session_settings> callers = make_caller_table();
    table.insert(table.end(), std::make_move_iterator(callers.begin()),
                 std::make_move_iterator(callers.end()));
    return table;
}

const key_list<session_settings>& session_table() {
    static const key_list<session_settings> table = make_session_table();
    return table;
}

result<void> skip_consistency_check(const session_settings& /*settings*/) {
    return boost::outcome_v2::success();
}

} // namespace

} // namespace internal

result<session_settings> parse_session_settings(std::istream& input, const std::string& file) {
    return internal::parse_ini<session_settings>(input, file, internal::session_table(),
                                                 internal::skip_consistency_check);
}

result<session_settings> read_session_settings(const std::filesystem::path& file) {
    return internal::read_ini_file<session_settings>(file, internal::session_table(),
                                                     internal::skip_consistency_check);
}

std::string render_session_documentation() {
    return internal::render_ini(internal::session_table());
}

} // namespace lovagemoor::settings
