#define BOOST_TEST_MODULE teaselpitch
#include <boost/test/unit_test.hpp>
