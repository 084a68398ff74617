#define BOOST_TEST_MODULE target
#include <boost/test/unit_test.hpp>
