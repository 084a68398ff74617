#include <lovagemoor/settings/session_settings.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace settings = lovagemoor::settings;

struct setting_case {
    std::string name;
    /// Text of the key; for `id` with the line break that ends it.
    std::string text;
    bool valid;
};

std::ostream& operator<<(std::ostream& out, const setting_case& sample) {
    return out << sample.name;
}

const std::vector<setting_case> ids{
    {"letters", "front-be-central-a-1\n", true},
    {"64 characters", std::string(64, 'h') + "\n", true},
    {"65 characters", std::string(65, 'h') + "\n", false},
    {"a space", "h 1\n", false},
    {"a slash", "a/h1\n", false},
    {"a carriage return within", "h\r1\n", false},
    {"a carriage return and a statement", "h1\rQUERY - RESUME\n", false},
    {"a tab", "h\t1\n", false},
    {"a NUL",
     std::string{"h\0"
                 "1\n",
                 4},
     false},
    {"a colon", "h:1\n", false},
    {"bytes above ASCII", "h\xc3\xa9\n", false},
    {"empty", "\n", false},
};

const std::vector<setting_case> grace_times{
    {"seconds", "3", true},
    {"a fraction", "0.5", true},
    {"too long", "60.1", false},
    {"negative", "-1", false},
    {"no number", "nan", false},
    {"infinite", "inf", false},
    {"beyond a double", "1e999", false},
    {"with a unit", "3s", false},
    {"two numbers", "3 4", false},
};

const std::vector<setting_case> caller_limits{
    {"defaults", "", true},
    {"no limit on memory", "memory_percent = 0", true},
    {"all memory", "memory_percent = 100", false},
    {"a negative share", "memory_percent = -1", false},
    {"too small a reserve", "reserved_descriptors = 15", false},
    {"a reserve", "reserved_descriptors = 16", true},
    {"a start timeout", "start_timeout_s = 0.5", true},
    {"no start timeout", "start_timeout_s = 0", false},
    {"a message timeout that is no number", "message_timeout_s = nan", false},
    {"an answer timeout above the limit", "answer_timeout_s = 61", false},
    {"no answers", "max_answer_mb = 0", false},
    {"an unknown key", "memory_mb = 5", false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(session_settings)

// Guards against a host's name that does not stay one field: it stands in STARTUP messages, keys of
// the registry and a header of promotion calls.
BOOST_DATA_TEST_CASE(ids_are_one_word, boost::unit_test::data::make(ids)) {
    std::istringstream input{"[host]\nid = " + sample.text +
                             "failure_domain = a\n"
                             "caller_listen = 127.0.0.1:7401\n"
                             "ready_listen = 127.0.0.1:7402\n"
                             "[registry]\n"
                             "address = 127.0.0.1:2379\n"};
    const settings::result<settings::session_settings> parsed =
        settings::parse_session_settings(input, "test.ini");
    BOOST_TEST(parsed.has_value() == sample.valid);
}

// Guards against a time that is no number: its conversion to whole milliseconds is undefined.
BOOST_DATA_TEST_CASE(grace_times_are_numbers, boost::unit_test::data::make(grace_times)) {
    std::istringstream input{"[host]\nid = h1\nfailure_domain = a\n"
                             "caller_listen = 127.0.0.1:7401\n"
                             "ready_listen = 127.0.0.1:7402\n"
                             "stop_grace_s = " +
                             sample.text +
                             "\n[registry]\n"
                             "address = 127.0.0.1:2379\n"};
    const settings::result<settings::session_settings> parsed =
        settings::parse_session_settings(input, "test.ini");
    BOOST_TEST(parsed.has_value() == sample.valid);
}

// Guards against limits on callers that leave nothing to them, or nothing to the rest of the host.
BOOST_DATA_TEST_CASE(caller_limits_are_in_range, boost::unit_test::data::make(caller_limits)) {
    std::istringstream input{"[host]\nid = h1\nfailure_domain = a\n"
                             "caller_listen = 127.0.0.1:7401\n"
                             "ready_listen = 127.0.0.1:7402\n"
                             "[callers]\n" +
                             sample.text +
                             "\n[registry]\n"
                             "address = 127.0.0.1:2379\n"};
    const settings::result<settings::session_settings> parsed =
        settings::parse_session_settings(input, "test.ini");
    BOOST_TEST(parsed.has_value() == sample.valid);
}

BOOST_AUTO_TEST_SUITE_END()
