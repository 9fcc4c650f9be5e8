#include "replica/replica.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using store::row;

namespace {

row make_row(const std::string& key, std::int64_t version, std::int64_t revision, int value)
{
    return {key, version, revision, "", nlohmann::json(value)};
}

int value_of(const replica::replica& copy, const char* key)
{
    const auto found = copy.current()->find(key);
    return found ? found->value.get<int>() : -1;
}

} // namespace

// Guards against a row that reverts to an older version when a slow upstream answers after a faster one.
BOOST_AUTO_TEST_CASE(older_rows_are_ignored)
{
    replica::replica copy;
    copy.apply({5, {make_row("a", 2, 5, 50)}});
    copy.apply({3, {make_row("a", 1, 3, 30)}});
    copy.apply_all({4, {make_row("a", 1, 3, 30)}});
    BOOST_TEST(value_of(copy, "a") == 50);
    BOOST_TEST(copy.current()->revision == 5);
}

// Guards against a pushed row that hides changes between the replica's revision and its own.
BOOST_AUTO_TEST_CASE(pushed_row_does_not_raise_the_revision)
{
    replica::replica copy;
    copy.apply({5, {make_row("a", 1, 5, 1)}});
    copy.apply({0, {make_row("b", 1, 9, 2)}});
    BOOST_TEST(value_of(copy, "b") == 2);
    BOOST_TEST(copy.current()->revision == 5);
    copy.apply({9, {make_row("a", 2, 7, 3), make_row("b", 1, 9, 2)}});
    BOOST_TEST(value_of(copy, "a") == 3);
}

// Guards against a deleted row that an older push restores, and against a deletion that never reaches a
// follower.
BOOST_AUTO_TEST_CASE(deletion_survives_older_rows_and_reaches_followers)
{
    replica::replica copy;
    copy.apply({2, {make_row("a", 1, 1, 1), make_row("b", 1, 2, 1)}});
    replica::replica follower;
    follower.apply_all(copy.all_rows());
    copy.apply({0, {row("a", 1, 6, "", nullptr)}});
    copy.apply({0, {make_row("a", 2, 4, 1)}});
    BOOST_TEST(value_of(copy, "a") == -1);
    copy.apply({6, {row("a", 1, 6, "", nullptr)}});
    follower.apply(copy.changes_since(2));
    BOOST_TEST(value_of(follower, "a") == -1);
    BOOST_TEST(value_of(follower, "b") == 1);
}

// Guards against a follower that misses deletions because its upstream replaced its rows by a full read.
BOOST_AUTO_TEST_CASE(changes_before_a_full_read_are_truncated)
{
    replica::replica copy;
    copy.apply_all({7, {make_row("a", 1, 1, 1)}});
    BOOST_TEST(copy.changes_since(3).is_truncated);
    BOOST_TEST(!copy.changes_since(7).is_truncated);
    copy.apply_all({9, {}});
    BOOST_TEST(value_of(copy, "a") == -1);
}
