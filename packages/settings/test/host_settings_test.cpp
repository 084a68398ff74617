#include <lovagemoor/settings/host_settings.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace core = lovagemoor::core;
namespace settings = lovagemoor::settings;
using kind = settings::settings_error_kind;
using namespace std::chrono_literals;

const std::string required_host_keys = "[host]\n"
                                       "id = h1\n"
                                       "failure_domain = a\n"
                                       "peer_listen = tcp://127.0.0.1:7400\n"
                                       "caller_listen = 127.0.0.1:7401\n"
                                       "operator_listen = [::1]:0\n"
                                       "session_key_file = /etc/lovagemoor/key\n";

const std::string valid = required_host_keys + "[platform]\n"
                                               "endpoints = 127.0.0.1:2379, 127.0.0.2:2379\n";

struct rejected_file {
    std::string name;
    std::string text;
    kind expected;
    std::string section;
    std::string key;
};

std::ostream& operator<<(std::ostream& out, const rejected_file& sample) {
    return out << sample.name;
}

struct core_key {
    std::string text;
    bool (*applied)(const core::core_settings& value);
};

std::ostream& operator<<(std::ostream& out, const core_key& sample) {
    return out << sample.text;
}

settings::result<settings::host_settings> parse(const std::string& text) {
    std::istringstream input{text};
    return settings::parse_host_settings(input, "test.ini");
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

const std::vector<rejected_file> rejected_files{
    {"no INI", "[host\n", kind::syntax, "", ""},
    {"no equals sign", "[host]\nid\n", kind::syntax, "", ""},
    {"key twice", "[host]\nid = a\nid = b\n", kind::syntax, "", ""},
    {"section twice", "[log]\nlevel = info\n[log]\nlevel = info\n", kind::syntax, "", ""},
    {"key outside sections", "id = h1\n" + valid, kind::unknown_key, "", "id"},
    {"unknown section", valid + "[extra]\nkey = 1\n", kind::unknown_section, "extra", ""},
    {"unknown key", valid + "[log]\nlevels = info\n", kind::unknown_key, "log", "levels"},
    {"key of another section", valid + "[log]\nid = h1\n", kind::unknown_key, "log", "id"},
    {"required key absent", replaced(valid, "id = h1\n", ""), kind::missing_key, "host", "id"},
    {"required key empty", replaced(valid, "id = h1", "id ="), kind::missing_key, "host", "id"},
    {"required section absent", required_host_keys, kind::missing_key, "platform", "endpoints"},
    {"slash in a name", replaced(valid, "id = h1", "id = a/b"), kind::wrong_type, "host", "id"},
    {"no scheme", replaced(valid, "tcp://127.0.0.1:7400", "127.0.0.1:7400"), kind::wrong_type,
     "host", "peer_listen"},
    {"host name for an address", replaced(valid, "127.0.0.1:7401", "localhost:7401"),
     kind::wrong_type, "host", "caller_listen"},
    {"host name for an IP number",
     replaced(valid, "session_key", "peer_source = localhost\nsession_key"), kind::wrong_type,
     "host", "peer_source"},
    {"advertised port 0",
     replaced(valid, "session_key", "peer_advertise = tcp://127.0.0.1:0\nsession_key"),
     kind::out_of_range, "host", "peer_advertise"},
    {"no port", replaced(valid, "127.0.0.1:7401", "127.0.0.1"), kind::wrong_type, "host",
     "caller_listen"},
    {"port too large", replaced(valid, ":7401", ":65536"), kind::out_of_range, "host",
     "caller_listen"},
    {"IPv6 without brackets", replaced(valid, "[::1]:0", "::1:0"), kind::wrong_type, "host",
     "operator_listen"},
    {"remote port 0", replaced(valid, "127.0.0.2:2379", "127.0.0.2:0"), kind::out_of_range,
     "platform", "endpoints"},
    {"empty element in a list", replaced(valid, "127.0.0.2:2379", ""), kind::wrong_type, "platform",
     "endpoints"},
    {"seed without id", valid + "[membership]\nseeds = tcp://127.0.0.1:1\n", kind::wrong_type,
     "membership", "seeds"},
    {"seed with empty id", valid + "[membership]\nseeds = @tcp://127.0.0.1:1\n", kind::wrong_type,
     "membership", "seeds"},
    {"seed twice", valid + "[membership]\nseeds = a@tcp://127.0.0.1:1, a@tcp://127.0.0.1:2\n",
     kind::inconsistent, "membership", "seeds"},
    {"text for a number", valid + "[membership]\nping_interval_ms = fast\n", kind::wrong_type,
     "membership", "ping_interval_ms"},
    {"unit after a number", valid + "[membership]\nping_interval_ms = 300ms\n", kind::wrong_type,
     "membership", "ping_interval_ms"},
    {"fraction for a whole number", valid + "[membership]\nping_interval_ms = 1.5\n",
     kind::wrong_type, "membership", "ping_interval_ms"},
    {"negative number", valid + "[scheduling]\nmax_queue_per_target = -1\n", kind::wrong_type,
     "scheduling", "max_queue_per_target"},
    {"below the range", valid + "[membership]\nping_interval_ms = 9\n", kind::out_of_range,
     "membership", "ping_interval_ms"},
    {"above the range", valid + "[requests]\nmax_timeout_ms = 3600001\n", kind::out_of_range,
     "requests", "max_timeout_ms"},
    {"beyond 64 bits", valid + "[requests]\nmax_timeout_ms = 99999999999999999999\n",
     kind::out_of_range, "requests", "max_timeout_ms"},
    {"not a number", valid + "[requests]\nretry_budget_ratio = nan\n", kind::out_of_range,
     "requests", "retry_budget_ratio"},
    {"unknown level", valid + "[log]\nlevel = verbose\n", kind::wrong_type, "log", "level"},
    {"timeout above interval", valid + "[membership]\nping_timeout_ms = 300\n", kind::inconsistent,
     "membership", "ping_timeout_ms"},
    {"more reports than observers", valid + "[promotion]\nreports_to_suspect = 4\n",
     kind::inconsistent, "promotion", "reports_to_suspect"},
};

using core::core_settings;

/// For each key of the core's settings, a value that differs from the default.
const std::vector<core_key> core_keys{
    {"[platform] watchers_per_domain = 5",
     [](const core_settings& s) { return s.watchers_per_domain == 5; }},
    {"[platform] retry_interval_ms = 70",
     [](const core_settings& s) { return s.platform_retry_interval == 70ms; }},
    {"[membership] ping_interval_ms = 700",
     [](const core_settings& s) { return s.ping_interval == 700ms; }},
    {"[membership] ping_timeout_ms = 70",
     [](const core_settings& s) { return s.ping_timeout == 70ms; }},
    {"[membership] suspicion_timeout_ms = 70",
     [](const core_settings& s) { return s.suspicion_timeout == 70ms; }},
    {"[membership] indirect_pings = 5",
     [](const core_settings& s) { return s.indirect_pings == 5; }},
    {"[membership] updates_per_message = 5",
     [](const core_settings& s) { return s.updates_per_message == 5; }},
    {"[membership] push_fanout = 5", [](const core_settings& s) { return s.push_fanout == 5; }},
    {"[membership] push_hops = 5", [](const core_settings& s) { return s.push_hops == 5; }},
    {"[membership] view_pull_interval_ms = 70",
     [](const core_settings& s) { return s.view_pull_interval == 70ms; }},
    {"[requests] max_timeout_ms = 70",
     [](const core_settings& s) { return s.max_timeout == 70ms; }},
    {"[requests] deadline_grace_ms = 70",
     [](const core_settings& s) { return s.deadline_grace == 70ms; }},
    {"[requests] max_statement_bytes = 5000",
     [](const core_settings& s) { return s.max_statement_bytes == 5'000; }},
    {"[requests] max_buffered_result_bytes = 5000",
     [](const core_settings& s) { return s.max_buffered_result_bytes == 5'000; }},
    {"[requests] max_parked_requests = 5",
     [](const core_settings& s) { return s.max_parked_requests == 5; }},
    {"[requests] retry_budget_ratio = 0.25",
     [](const core_settings& s) { return s.retry_budget_ratio == 0.25; }},
    {"[requests] retry_budget_burst = 5",
     [](const core_settings& s) { return s.retry_budget_burst == 5; }},
    {"[scheduling] bulk_max_wait_ms = 70",
     [](const core_settings& s) { return s.bulk_max_wait == 70ms; }},
    {"[scheduling] bulk_threshold_ms = 70",
     [](const core_settings& s) { return s.bulk_threshold == 70ms; }},
    {"[scheduling] max_queue_per_target = 5",
     [](const core_settings& s) { return s.max_queue_per_target == 5; }},
    {"[scheduling] spare_connections = 5",
     [](const core_settings& s) { return s.spare_connections == 5; }},
    {"[scheduling] previous_owner_grace_ms = 70",
     [](const core_settings& s) { return s.previous_owner_grace == 70ms; }},
    {"[scheduling] transaction_idle_timeout_ms = 700",
     [](const core_settings& s) { return s.transaction_idle_timeout == 700ms; }},
    {"[scheduling] drain_timeout_ms = 70",
     [](const core_settings& s) { return s.drain_timeout == 70ms; }},
    {"[promotion] status_interval_ms = 70",
     [](const core_settings& s) { return s.status_interval == 70ms; }},
    {"[promotion] status_timeout_ms = 70",
     [](const core_settings& s) { return s.status_timeout == 70ms; }},
    {"[promotion] primary_suspicion_ms = 70",
     [](const core_settings& s) { return s.primary_suspicion == 70ms; }},
    {"[promotion] report_interval_ms = 70",
     [](const core_settings& s) { return s.report_interval == 70ms; }},
    {"[promotion] observers_per_group = 5",
     [](const core_settings& s) { return s.observers_per_group == 5; }},
    {"[promotion] reports_to_suspect = 1",
     [](const core_settings& s) { return s.reports_to_suspect == 1; }},
    {"[promotion] candidate_delay_ms = 70",
     [](const core_settings& s) { return s.candidate_delay == 70ms; }},
    {"[promotion] election_timeout_ms = 70",
     [](const core_settings& s) { return s.election_timeout == 70ms; }},
    {"[acknowledgement] attest_wait_ms = 70",
     [](const core_settings& s) { return s.attest_wait == 70ms; }},
    {"[acknowledgement] attest_timeout_ms = 70",
     [](const core_settings& s) { return s.attest_timeout == 70ms; }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(host_settings)

// Guards against accepting an invalid setting, and against an error without its location.
BOOST_DATA_TEST_CASE(invalid_files_are_rejected, boost::unit_test::data::make(rejected_files)) {
    const settings::result<settings::host_settings> parsed = parse(sample.text);
    BOOST_REQUIRE(parsed.has_error());
    const settings::settings_error& error = parsed.error();
    BOOST_TEST((error.kind == sample.expected), to_string(error));
    BOOST_TEST(error.file == "test.ini");
    BOOST_TEST(error.section == sample.section);
    BOOST_TEST(error.key == sample.key);
    BOOST_TEST(!error.reason.empty());
}

// Guards against a key that sets the wrong field or uses the wrong unit.
BOOST_DATA_TEST_CASE(each_key_sets_its_field, boost::unit_test::data::make(core_keys)) {
    const std::string in_file = replaced(sample.text, "] ", "]\n");
    const bool is_platform = in_file.starts_with("[platform]\n");
    const std::string text =
        is_platform ? valid + in_file.substr(in_file.find('\n') + 1) : valid + in_file;
    const settings::result<settings::host_settings> parsed = parse(text + "\n");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(sample.applied(parsed.value().core));
    BOOST_TEST(!sample.applied(core_settings{}));
}

// Guards against a key of the core's settings that is missing from core_keys.
BOOST_AUTO_TEST_CASE(each_key_with_a_default_number_is_tested) {
    std::size_t numbers = 0;
    for (const settings::key_description& key : settings::describe_keys()) {
        numbers += key.range.empty() ? 0U : 1U;
    }
    BOOST_TEST(numbers == core_keys.size());
}

// Guards against storing the value of one of the host's own keys in the field of another.
BOOST_AUTO_TEST_CASE(the_host_keys_are_read) {
    const settings::result<settings::host_settings> parsed =
        parse(replaced(valid, "session_key",
                       "metrics_listen = 127.0.0.1:0\npeer_source = 127.0.0.9\n"
                       "peer_advertise = tcp://10.0.0.1:7400\nsession_key") +
              "[membership]\nseeds = h2@tcp://127.0.0.2:7400, h3@tcp://[::1]:7400\n"
              "[log]\nlevel = warning\n");
    BOOST_REQUIRE(parsed.has_value());
    const settings::host_settings& value = parsed.value();
    BOOST_TEST(value.id.value == "h1");
    BOOST_TEST(value.domain.value == "a");
    BOOST_TEST(value.peer_listen == "tcp://127.0.0.1:7400");
    BOOST_TEST(value.peer_source == "127.0.0.9");
    BOOST_TEST(value.peer_advertise == "tcp://10.0.0.1:7400");
    BOOST_TEST(value.caller_listen == "127.0.0.1:7401");
    BOOST_TEST(value.operator_listen == "[::1]:0");
    BOOST_TEST(value.metrics_listen == "127.0.0.1:0");
    BOOST_TEST(value.session_key_file == "/etc/lovagemoor/key");
    BOOST_TEST(
        (value.platform_endpoints == std::vector<std::string>{"127.0.0.1:2379", "127.0.0.2:2379"}));
    BOOST_TEST((value.seeds == std::vector<settings::seed_host>{{{"h2"}, "tcp://127.0.0.2:7400"},
                                                                {{"h3"}, "tcp://[::1]:7400"}}));
    BOOST_TEST((value.log_level == core::log_event::level::warning));
}

// Guards against defaults of keys that differ from the core's defaults.
BOOST_AUTO_TEST_CASE(absent_keys_have_their_defaults) {
    const settings::result<settings::host_settings> parsed = parse(valid);
    BOOST_REQUIRE(parsed.has_value());
    for (const core_key& key : core_keys) {
        BOOST_TEST(!key.applied(parsed.value().core), key.text);
    }
    BOOST_TEST((parsed.value().core.ping_interval == core_settings{}.ping_interval));
    BOOST_TEST(parsed.value().seeds.empty());
    BOOST_TEST(parsed.value().metrics_listen.empty());
    BOOST_TEST(parsed.value().peer_source.empty());
    BOOST_TEST(parsed.value().peer_advertise.empty());
    BOOST_TEST((parsed.value().log_level == core::log_event::level::info));
}

// Guards against documentation that lacks a key, and against defaults that are not accepted.
BOOST_AUTO_TEST_CASE(the_documentation_is_a_settings_file) {
    std::string text = settings::render_documentation();
    for (const settings::key_description& key : settings::describe_keys()) {
        BOOST_TEST(text.find("\n" + key.name + " =") != std::string::npos, key.name);
        BOOST_TEST(!key.documentation.empty(), key.name);
    }
    for (const auto& [key, value] :
         std::vector<std::pair<std::string, std::string>>{{"\nid =", " h1"},
                                                          {"\nfailure_domain =", " a"},
                                                          {"\npeer_listen =", " tcp://127.0.0.1:0"},
                                                          {"\ncaller_listen =", " 127.0.0.1:0"},
                                                          {"\noperator_listen =", " 127.0.0.1:0"},
                                                          {"\nsession_key_file =", " key"},
                                                          {"\nendpoints =", " 127.0.0.1:2379"}}) {
        text.insert(text.find(key) + key.size(), value);
    }
    const settings::result<settings::host_settings> parsed = parse(text);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed.value().core.attest_wait == core_settings{}.attest_wait));
    BOOST_TEST(parsed.value().core.retry_budget_ratio == core_settings{}.retry_budget_ratio);
}

// Guards against a crash when the file is absent.
BOOST_AUTO_TEST_CASE(an_absent_file_is_an_error) {
    const settings::result<settings::host_settings> read =
        settings::read_host_settings("/nonexistent/lovagemoord.ini");
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST((read.error().kind == kind::unreadable));
    BOOST_TEST(to_string(read.error()) == "/nonexistent/lovagemoord.ini: the file cannot be read");
}

BOOST_AUTO_TEST_SUITE_END()
