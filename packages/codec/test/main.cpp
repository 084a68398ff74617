#define BOOST_TEST_MODULE codec
#include <boost/test/unit_test.hpp>
