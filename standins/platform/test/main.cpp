#define BOOST_TEST_MODULE standin_platform
#include <boost/test/unit_test.hpp>
