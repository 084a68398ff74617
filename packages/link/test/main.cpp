#define BOOST_TEST_MODULE link
#include <boost/test/unit_test.hpp>
