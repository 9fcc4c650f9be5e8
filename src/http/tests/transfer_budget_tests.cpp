#include "http/transfer_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace briarfold;

namespace {

constexpr std::size_t limit_bytes = 100;

std::shared_ptr<http::transfer_budget> make_budget()
{
    return std::make_shared<http::transfer_budget>(limit_bytes);
}

} // namespace

// Guards against a process that runs out of memory although each message keeps its own limit.
BOOST_AUTO_TEST_CASE(largest_message_is_given_up_beyond_the_limit)
{
    const auto budget = make_budget();
    bool is_large_given_up = false;
    bool is_small_given_up = false;
    http::held_message large(budget, [&] { is_large_given_up = true; });
    http::held_message small(budget, [&] { is_small_given_up = true; });
    http::held_message next(budget, [] {});
    BOOST_TEST(large.resize(60));
    BOOST_TEST(small.resize(30));
    BOOST_TEST(next.resize(20));
    BOOST_TEST(is_large_given_up);
    BOOST_TEST(large.is_given_up());
    BOOST_TEST(!is_small_given_up);
    BOOST_TEST(!large.resize(1));
    BOOST_TEST(budget->held_bytes() == 50U);
    BOOST_TEST(budget->given_up() == 1U);
}

BOOST_AUTO_TEST_CASE(message_that_is_itself_the_largest_fails)
{
    const auto budget = make_budget();
    bool is_other_given_up = false;
    http::held_message other(budget, [&] { is_other_given_up = true; });
    BOOST_TEST(other.resize(40));
    {
        http::held_message large(budget);
        BOOST_TEST(large.resize(60));
        BOOST_TEST(!large.resize(61));
        BOOST_TEST(large.is_given_up());
    }
    BOOST_TEST(!is_other_given_up);
    BOOST_TEST(budget->held_bytes() == 40U);
}

BOOST_AUTO_TEST_CASE(kept_messages_are_not_given_up_for_others)
{
    const auto budget = make_budget();
    http::held_message kept(budget, [] { BOOST_ERROR("a kept message was given up"); });
    BOOST_TEST(kept.resize(90));
    kept.keep();
    http::held_message next(budget, [] {});
    BOOST_TEST(!next.resize(20));
    BOOST_TEST(kept.resize(0));
    BOOST_TEST(budget->held_bytes() == 0U);
    BOOST_TEST(budget->peak_bytes() == 90U);
}

BOOST_AUTO_TEST_CASE(messages_without_a_budget_have_no_limit)
{
    http::held_message message(nullptr);
    BOOST_TEST(message.resize(std::size_t{1} << 40U));
}

// Guards against a large request that is refused although it is alone, and against one that, while it is
// processed, causes the refusal of all small ones.
BOOST_AUTO_TEST_CASE(one_large_message_beside_small_ones_may_use_the_reserve)
{
    constexpr std::size_t large_bytes = 900000;
    const auto budget = std::make_shared<http::transfer_budget>(800000, 1000000);
    http::held_message large(budget, [] {});
    BOOST_TEST(large.resize(large_bytes));
    large.keep();
    http::held_message small(budget, [] {});
    BOOST_TEST(small.resize(1000));
    http::held_message second(budget, [] {});
    BOOST_TEST(!second.resize(large_bytes));
    http::held_message buffers(budget);
    buffers.count(large_bytes);
    BOOST_TEST(!buffers.is_given_up());
    BOOST_TEST(budget->held_bytes() == 2 * large_bytes + 1000);
}
