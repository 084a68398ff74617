#include "key_table.hpp"

#include "value_parser.hpp"

#include <boost/outcome/try.hpp>

#include <chrono>
#include <cstdint>
#include <iterator>
#include <sstream>
#include <type_traits>
#include <utility>

namespace lovagemoor::settings::internal {

namespace {

using namespace std::chrono_literals;
using core::core_settings;
using std::chrono::milliseconds;

/// Upper limit of intervals and time limits that do not have a lower one.
constexpr milliseconds one_hour{1h};

template <typename Number>
std::string number_text(Number value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

/// @brief Makes a key for a duration in the core's settings, given in whole milliseconds.
template <typename Duration>
host_key_entry duration_key(std::string section, std::string name, Duration core_settings::*field,
                            milliseconds lowest, milliseconds highest, std::string documentation) {
    const std::string range =
        std::to_string(lowest.count()) + " to " + std::to_string(highest.count());
    const milliseconds initial = std::chrono::duration_cast<milliseconds>(core_settings{}.*field);
    return {{std::move(section), std::move(name), "whole number", "ms", range,
             std::to_string(initial.count()), false, std::move(documentation)},
            [field, lowest, highest, range](host_settings& settings,
                                            const std::string& text) -> result<void> {
                BOOST_OUTCOME_TRY(count, parse_in_range<std::int64_t>(
                                             text, lowest.count(), highest.count(), range + " ms"));
                settings.core.*field = milliseconds{count};
                return boost::outcome_v2::success();
            }};
}

/// @brief Makes a key for a number in the core's settings.
template <typename Number>
host_key_entry number_key(std::string section, std::string name, Number core_settings::*field,
                          std::string unit, std::type_identity_t<Number> lowest,
                          std::type_identity_t<Number> highest, std::string documentation) {
    const std::string range = number_text(lowest) + " to " + number_text(highest);
    const char* const type = std::is_integral_v<Number> ? "whole number" : "number";
    return {{std::move(section), std::move(name), type, std::move(unit), range,
             number_text(core_settings{}.*field), false, std::move(documentation)},
            [field, lowest, highest, range](host_settings& settings,
                                            const std::string& text) -> result<void> {
                BOOST_OUTCOME_TRY(number, parse_in_range<Number>(text, lowest, highest, range));
                settings.core.*field = number;
                return boost::outcome_v2::success();
            }};
}

/// @brief Makes a key for a comma-separated list.
/// @param parse Parses one element.
template <typename Element, typename Parse>
host_key_entry list_key(key_description description, std::vector<Element> host_settings::*field,
                        Parse parse) {
    return {std::move(description),
            [field, parse](host_settings& settings, const std::string& text) -> result<void> {
                std::vector<Element> elements;
                for (const std::string& part : split_list(text)) {
                    BOOST_OUTCOME_TRY(element, parse(part));
                    elements.push_back(std::move(element));
                }
                settings.*field = std::move(elements);
                return boost::outcome_v2::success();
            }};
}

result<std::string> parse_listen_address(const std::string& text) {
    return parse_address(text, true);
}

result<std::string> parse_remote_address(const std::string& text) {
    return parse_address(text, false);
}

result<std::string> parse_listen_endpoint(const std::string& text) {
    return parse_endpoint(text, true);
}

result<std::string> parse_remote_endpoint(const std::string& text) {
    return parse_endpoint(text, false);
}

result<std::string> parse_path(const std::string& text) {
    return text;
}

auto store_text(std::string host_settings::*field) {
    return
        [field](host_settings& settings, std::string value) { settings.*field = std::move(value); };
}

void append(std::vector<host_key_entry>& table, std::vector<host_key_entry> entries) {
    table.insert(table.end(), std::make_move_iterator(entries.begin()),
                 std::make_move_iterator(entries.end()));
}

std::vector<host_key_entry> host_keys() {
    return {
        text_key<host_settings>(
            {"host", "id", "name", "", "", "", true, "Unique identifier of this host."}, parse_name,
            [](host_settings& settings, std::string value) {
                settings.id.value = std::move(value);
            }),
        text_key<host_settings>({"host", "failure_domain", "name", "", "", "", true,
                                 "Failure domain in which this host runs."},
                                parse_name,
                                [](host_settings& settings, std::string value) {
                                    settings.domain.value = std::move(value);
                                }),
        text_key<host_settings>({"host", "peer_listen", "tcp://ip:port", "", "", "", true,
                                 "ZeroMQ endpoint for other hosts; port 0 takes a free port."},
                                parse_listen_endpoint, store_text(&host_settings::peer_listen)),
        text_key<host_settings>(
            {"host", "peer_source", "ip", "", "", "", false,
             "Source IP address of connections to other hosts; empty lets the system choose."},
            parse_ip, store_text(&host_settings::peer_source)),
        text_key<host_settings>(
            {"host", "peer_advertise", "tcp://ip:port", "", "", "", false,
             "ZeroMQ endpoint at which other hosts reach this one; empty to use peer_listen."},
            parse_remote_endpoint, store_text(&host_settings::peer_advertise)),
        text_key<host_settings>({"host", "caller_listen", "ip:port", "", "", "", true,
                                 "gRPC address for callers; port 0 takes a free port."},
                                parse_listen_address, store_text(&host_settings::caller_listen)),
        text_key<host_settings>({"host", "operator_listen", "ip:port", "", "", "", true,
                                 "gRPC address for operators; port 0 takes a free port."},
                                parse_listen_address, store_text(&host_settings::operator_listen)),
        text_key<host_settings>({"host", "metrics_listen", "ip:port", "", "", "", false,
                                 "HTTP address for Prometheus; empty for no metrics endpoint."},
                                parse_listen_address, store_text(&host_settings::metrics_listen)),
        text_key<host_settings>(
            {"host", "session_key_file", "path", "", "", "", true,
             "File with the key that authenticates session tokens, the same on all hosts."},
            parse_path, store_text(&host_settings::session_key_file)),
    };
}

std::vector<host_key_entry> platform_keys() {
    return {
        list_key({"platform", "endpoints", "list of ip:port", "", "", "", true,
                  "Endpoints of the platform's key-value service."},
                 &host_settings::platform_endpoints, parse_remote_address),
        number_key("platform", "watchers_per_domain", &core_settings::watchers_per_domain, "", 1,
                   100, "Hosts per failure domain that watch the platform's records."),
        duration_key("platform", "retry_interval_ms", &core_settings::platform_retry_interval, 10ms,
                     one_hour, "Wait before a failed call to the platform is repeated."),
    };
}

std::vector<host_key_entry> membership_keys() {
    const std::string section = "membership";
    return {
        list_key({section, "seeds", "list of id@tcp://ip:port", "", "", "", false,
                  "Hosts that this host contacts first."},
                 &host_settings::seeds, parse_seed),
        duration_key(section, "ping_interval_ms", &core_settings::ping_interval, 10ms, one_hour,
                     "Interval at which one other host is pinged."),
        duration_key(section, "ping_timeout_ms", &core_settings::ping_timeout, 1ms, one_hour,
                     "Wait for an acknowledgement before other hosts are asked to ping."),
        duration_key(section, "suspicion_timeout_ms", &core_settings::suspicion_timeout, 10ms,
                     one_hour, "Time in which a suspected host can refute its failure."),
        number_key(section, "indirect_pings", &core_settings::indirect_pings, "", 0, 16,
                   "Hosts that are asked to ping a host that does not answer."),
        number_key(section, "updates_per_message", &core_settings::updates_per_message, "", 1, 100,
                   "Limit on the member updates in one membership message."),
        number_key(section, "push_fanout", &core_settings::push_fanout, "", 1, 16,
                   "Hosts to which each host forwards a changed record."),
        number_key(section, "push_hops", &core_settings::push_hops, "", 1, 32,
                   "Number of times that a changed record is forwarded."),
        duration_key(section, "view_pull_interval_ms", &core_settings::view_pull_interval, 10ms,
                     one_hour, "Shortest time between two requests for missing records."),
    };
}

std::vector<host_key_entry> promotion_keys() {
    const std::string section = "promotion";
    return {
        duration_key(section, "status_interval_ms", &core_settings::status_interval, 10ms, one_hour,
                     "Interval at which observers ask a primary for its status."),
        duration_key(section, "status_timeout_ms", &core_settings::status_timeout, 10ms, one_hour,
                     "Time limit of a status request to a target."),
        duration_key(section, "primary_suspicion_ms", &core_settings::primary_suspicion, 10ms,
                     one_hour, "Time without a good reply after which a primary is suspected."),
        duration_key(section, "report_interval_ms", &core_settings::report_interval, 10ms, one_hour,
                     "Interval at which observers repeat unchanged reports to each other."),
        number_key(section, "observers_per_group", &core_settings::observers_per_group, "", 1, 16,
                   "Distinct hosts that observe a group's primary."),
        number_key(section, "reports_to_suspect", &core_settings::reports_to_suspect, "", 1, 16,
                   "Observers that must suspect a primary before another target is promoted."),
        duration_key(section, "candidate_delay_ms", &core_settings::candidate_delay, 0ms, one_hour,
                     "Additional delay of each further candidate before it runs a promotion."),
        duration_key(section, "election_timeout_ms", &core_settings::election_timeout, 10ms,
                     one_hour, "Time after which an unfinished promotion may be superseded."),
    };
}

std::vector<host_key_entry> acknowledgement_keys() {
    const std::string section = "acknowledgement";
    return {
        duration_key(section, "attest_wait_ms", &core_settings::attest_wait, 0ms, 60s,
                     "How long a target may wait for a log position before it replies."),
        duration_key(section, "attest_timeout_ms", &core_settings::attest_timeout, 1ms, one_hour,
                     "Time limit of an attestation by a target."),
    };
}

std::vector<host_key_entry> request_keys() {
    const std::string section = "requests";
    return {
        duration_key(section, "max_timeout_ms", &core_settings::max_timeout, 1ms, one_hour,
                     "Longest timeout that a caller may set."),
        duration_key(section, "deadline_grace_ms", &core_settings::deadline_grace, 0ms, 60s,
                     "Wait for the owner's answer after a request's deadline."),
        number_key(section, "max_statement_bytes", &core_settings::max_statement_bytes, "bytes",
                   1'000, 16'000'000, "Largest statement including its parameters."),
        number_key(section, "max_buffered_result_bytes", &core_settings::max_buffered_result_bytes,
                   "bytes", 1'000, 16'000'000, "Largest result that a host holds in memory."),
        number_key(section, "max_parked_requests", &core_settings::max_parked_requests, "", 0,
                   1'000'000, "Requests that may wait on a host for a primary."),
        number_key(section, "retry_budget_ratio", &core_settings::retry_budget_ratio, "", 0, 1,
                   "Retries per request that the retry budget gains."),
        number_key(section, "retry_budget_burst", &core_settings::retry_budget_burst, "", 0,
                   100'000, "Limit on the retries that the retry budget holds."),
    };
}

std::vector<host_key_entry> scheduling_keys() {
    const std::string section = "scheduling";
    return {
        duration_key(
            section, "bulk_max_wait_ms", &core_settings::bulk_max_wait, 0ms, one_hour,
            "Wait after which a bulk request runs next if no other bulk request is running."),
        duration_key(section, "bulk_threshold_ms", &core_settings::bulk_threshold, 1ms, one_hour,
                     "Mean run time above which a statement is scheduled as bulk."),
        number_key(section, "max_queue_per_target", &core_settings::max_queue_per_target, "", 1,
                   1'000'000, "Requests that may wait for one target."),
        number_key(section, "spare_connections", &core_settings::spare_connections, "", 0, 1'000,
                   "Idle connections kept open beyond the target's slots."),
        duration_key(section, "previous_owner_grace_ms", &core_settings::previous_owner_grace, 0ms,
                     one_hour, "Time in which a new owner opens only half of the connections."),
        duration_key(section, "transaction_idle_timeout_ms",
                     &core_settings::transaction_idle_timeout, 100ms, one_hour,
                     "Time without a statement after which a transaction is rolled back."),
        duration_key(section, "drain_timeout_ms", &core_settings::drain_timeout, 0ms, one_hour,
                     "Longest time that a planned stop waits for requests and transactions."),
    };
}

std::vector<host_key_entry> log_keys() {
    return {text_key<host_settings>(
        {"log", "level", "debug, info, warning or error", "", "", "info", false,
         "Lowest level of events that are logged."},
        parse_level,
        [](host_settings& settings, core::log_event::level value) { settings.log_level = value; })};
}

std::vector<host_key_entry> make_table() {
    std::vector<host_key_entry> table = host_keys();
    append(table, platform_keys());
    append(table, membership_keys());
    append(table, request_keys());
    append(table, scheduling_keys());
    append(table, promotion_keys());
    append(table, acknowledgement_keys());
    append(table, log_keys());
    return table;
}

} // namespace

const std::vector<host_key_entry>& key_table() {
    static const std::vector<host_key_entry> table = make_table();
    return table;
}

} // namespace lovagemoor::settings::internal
