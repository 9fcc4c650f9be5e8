#include "leader/tests/ownership_model.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace briarfold;
using namespace briarfold::leader;
using namespace briarfold::leader::tests;

namespace {

std::int64_t read_number(const char* name, std::int64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::stoll(text);
}

} // namespace

// A ctest entry of its own names this suite, so that the other tests of the module stay short.
BOOST_AUTO_TEST_SUITE(ownership_simulation, *boost::unit_test::disabled())

// Environment: OWNERSHIP_SEED and OWNERSHIP_COUNT give the seeds, OWNERSHIP_LENGTH_MS the simulated time; the
// others change the protocol: OWNERSHIP_ENDLESS=0 ends leadership without the store after 10 s,
// OWNERSHIP_EARLY=0 lets a new leader grant only with a directory of its term, OWNERSHIP_CONFIRMATION_MS is
// the time for which confirmations of a former leader count as valid.
BOOST_AUTO_TEST_CASE(each_key_has_one_owner)
{
    const auto first = read_number("OWNERSHIP_SEED", 1);
    const auto count = read_number("OWNERSHIP_COUNT", 60);
    std::size_t moves = 0;
    std::size_t terms = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        model_options options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.length.ms = read_number("OWNERSHIP_LENGTH_MS", options.length.ms);
        options.has_endless_leadership = read_number("OWNERSHIP_ENDLESS", 1) != 0;
        options.is_confirmed_at_once = read_number("OWNERSHIP_EARLY", 1) != 0;
        options.leader.max_confirmation_age.ms =
            read_number("OWNERSHIP_CONFIRMATION_MS", options.leader.max_confirmation_age.ms);
        ownership_model model(options);
        const auto violation = model.run();
        BOOST_CHECK_MESSAGE(violation.empty(), violation);
        moves += model.moves();
        terms += model.terms();
    }
    BOOST_TEST_MESSAGE(count << " seeds, " << terms << " terms, " << moves << " keys moved");
    BOOST_CHECK_GT(moves, 0U);
    BOOST_CHECK_GE(terms, static_cast<std::size_t>(count));
}

BOOST_AUTO_TEST_SUITE_END()
