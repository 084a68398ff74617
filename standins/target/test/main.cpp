#define BOOST_TEST_MODULE standin_target
#include <boost/test/unit_test.hpp>
