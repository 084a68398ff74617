#include "parameters.hpp"

#include <boost/test/unit_test.hpp>

#include <sstream>

using lovagemoor::bench::parameter_error;
using lovagemoor::bench::parameters;

BOOST_AUTO_TEST_SUITE(parameters_test)

// Guards against an override that is printed but not used, or used but not printed.
BOOST_AUTO_TEST_CASE(override_replaces_value_from_file) {
    std::istringstream file{"rate = 100\nservice_time_ms = 2.5\nfaults = kill,freeze\n"};
    const parameters values{file, {"rate=250"}};
    BOOST_TEST(values.get<int>("rate") == 250);
    BOOST_TEST(values.milliseconds("service_time_ms").count() == 2500);
    BOOST_TEST(values.list("faults").size() == 2U);
    std::ostringstream printed;
    values.print(printed);
    BOOST_TEST(printed.str() ==
               "param.rate=250\nparam.service_time_ms=2.5\nparam.faults=kill,freeze\n");
}

// Guards against a misspelt key or a malformed value that goes unnoticed, so that an
// experiment runs with a setting other than the requested one.
BOOST_AUTO_TEST_CASE(unknown_keys_and_malformed_values_are_rejected) {
    std::istringstream file{"rate = fast\n"};
    const parameters values{file, {}};
    BOOST_CHECK_THROW(static_cast<void>(values.get<int>("rate")), parameter_error);
    BOOST_CHECK_THROW(static_cast<void>(values.get<int>("rates")), parameter_error);
    std::istringstream file_for_unknown_key{"rate = 1\n"};
    BOOST_CHECK_THROW((parameters{file_for_unknown_key, {"rates=1"}}), parameter_error);
    std::istringstream file_for_override_without_value{"rate = 1\n"};
    BOOST_CHECK_THROW((parameters{file_for_override_without_value, {"rate"}}), parameter_error);
}

BOOST_AUTO_TEST_SUITE_END()
