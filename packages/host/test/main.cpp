#define BOOST_TEST_MODULE host
#include <boost/test/unit_test.hpp>
