#include "keyspace/key_range.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::keyspace;

BOOST_AUTO_TEST_SUITE(key_ranges)

// Guards against lost or duplicate keys when ranges are split and joined.
BOOST_AUTO_TEST_CASE(set_operations_keep_every_key_once)
{
    const key_set whole{{0, key_count - 1}};
    const key_set part{{10, 20}, {21, 30}, {65535, 65535}};
    BOOST_CHECK(set_union(set_difference(whole, part), part) == whole);
    BOOST_CHECK(normalized(part) == (key_set{{10, 30}, {65535, 65535}}));
    BOOST_CHECK_EQUAL(size(part) + size(complement(part)), key_count);
    BOOST_CHECK(set_intersection(part, {{15, 25}}) == (key_set{{15, 25}}));
    BOOST_CHECK(covers(whole, part));
    BOOST_CHECK(!covers(part, {{30, 31}}));
    BOOST_CHECK(contains(part, 21));
    BOOST_CHECK(!contains(part, 31));
    BOOST_CHECK(complement(whole).empty());
}

BOOST_AUTO_TEST_SUITE_END()
