#define BOOST_TEST_MODULE quincefall
#include <boost/test/unit_test.hpp>
