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

// Guards against two owners under overlapping faults. Environment: OWNERSHIP_SEED and OWNERSHIP_COUNT give
// the seeds, OWNERSHIP_LENGTH_MS the simulated time.
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
