#include <lovagemoor/telemetry/log_line.hpp>
#include <lovagemoor/telemetry/logger.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace core = lovagemoor::core;
namespace telemetry = lovagemoor::telemetry;
using level = core::log_event::level;

struct printed_value {
    std::string value;
    std::string printed;
};

std::ostream& operator<<(std::ostream& out, const printed_value& sample) {
    return out << sample.printed;
}

const std::vector<printed_value> printed_values{
    {"plain", "plain"},
    {"", "\"\""},
    {"two words", "\"two words\""},
    {"a=b", "\"a=b\""},
    {"say \"no\"", "\"say \\\"no\\\"\""},
    {"back\\slash", "\"back\\\\slash\""},
    {"two\nlines", "\"two\\nlines\""},
    {"tab\tcr\r", "\"tab\\tcr\\r\""},
    {std::string{"bell\x07"}, "\"bell\\x07\""},
    {"\xc3\xa9t\xc3\xa9", "\xc3\xa9t\xc3\xa9"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(logging)

// Guards against a change of the keys that log readers rely on.
BOOST_AUTO_TEST_CASE(a_line_has_the_fixed_keys_first) {
    const core::log_event event{
        level::warning, "primary_suspected", {{"group", "g1"}, {"silent_ms", "600"}}};
    const std::chrono::system_clock::time_point at{
        std::chrono::microseconds{1'700'000'000'000'042}};
    BOOST_TEST(telemetry::format_log_line(event, {"h1"}, at) ==
               "ts=2023-11-14T22:13:20.000042Z level=warning event=primary_suspected host=h1 "
               "group=g1 silent_ms=600");
}

// Guards against a value that forges another field or another line.
BOOST_DATA_TEST_CASE(values_are_quoted_when_needed, boost::unit_test::data::make(printed_values)) {
    const core::log_event event{level::info, "e", {{"key", sample.value}}};
    const std::string line = telemetry::format_log_line(event, {"h1"}, {});
    BOOST_TEST(line.ends_with(" key=" + sample.printed), line);
}

// Guards against log lines of a megabyte: the id of a statement, which a caller chooses, is logged
// with each refusal.
BOOST_AUTO_TEST_CASE(long_values_are_cut_off) {
    const core::log_event event{level::info,
                                "e",
                                {{"id", std::string(1'000'000, 'i')},
                                 {"kept", std::string(4096, 'k')},
                                 {"cut", std::string(4095, 'c') + "\xc3\xa9"}}};
    const std::string line = telemetry::format_log_line(event, {"h1"}, {});
    BOOST_TEST(line.find(" id=\"" + std::string(4096, 'i') +
                         "...[1000000 bytes]\" kept=" + std::string(4096, 'k') + " cut=\"" +
                         std::string(4095, 'c') + "...[4097 bytes]\"") != std::string::npos);
    BOOST_TEST(line.size() < 20'000U);
}

// Guards against lines in another logger's output, and against lines lost when a logger ends.
BOOST_AUTO_TEST_CASE(each_logger_writes_its_own_lines) {
    std::ostringstream first_output;
    std::ostringstream second_output;
    {
        telemetry::logger first{{"h1"}, level::debug, first_output};
        telemetry::logger second{{"h2"}, level::debug, second_output};
        for (int count = 0; count < 100; ++count) {
            first.perform({level::info, "one", {}});
        }
        second.perform({level::info, "two", {}});
    }
    const std::string lines = first_output.str();
    BOOST_TEST(std::count(lines.begin(), lines.end(), '\n') == 100);
    BOOST_TEST(lines.find("two") == std::string::npos);
    BOOST_TEST(second_output.str().ends_with("level=info event=two host=h2\n"));
}

// Guards against writing events below the configured level.
BOOST_AUTO_TEST_CASE(events_below_the_level_are_not_written) {
    std::ostringstream output;
    telemetry::logger log{{"h1"}, level::warning, output};
    log.perform({level::info, "hidden", {}});
    log.perform({level::error, "shown", {}});
    log.flush();
    BOOST_TEST(output.str().find("hidden") == std::string::npos);
    BOOST_TEST(output.str().find("event=shown") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
