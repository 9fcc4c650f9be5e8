#include "leader/tests/ownership_model.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>
#include <vector>

using namespace briarfold;
using namespace briarfold::leader;
using namespace briarfold::leader::tests;

namespace {

std::int64_t read_number(const char* name, std::int64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::stoll(text);
}

struct simulation_result
{
    std::int64_t seeds = 0;
    std::size_t moves = 0;
    std::size_t terms = 0;
    std::vector<std::string> violations;
};

/// Environment: OWNERSHIP_SEED and OWNERSHIP_COUNT give the seeds, OWNERSHIP_LENGTH_MS the simulated time.
simulation_result simulate(model_options options)
{
    simulation_result result;
    const auto first = read_number("OWNERSHIP_SEED", 1);
    result.seeds = read_number("OWNERSHIP_COUNT", 60);
    options.length.ms = read_number("OWNERSHIP_LENGTH_MS", options.length.ms);
    for (auto seed = first; seed < first + result.seeds; ++seed)
    {
        options.seed = static_cast<std::uint64_t>(seed);
        ownership_model model(options);
        if (auto violation = model.run(); !violation.empty())
        {
            result.violations.push_back(std::move(violation));
        }
        result.moves += model.moves();
        result.terms += model.terms();
    }
    return result;
}

void check(const simulation_result& result)
{
    for (const auto& violation : result.violations)
    {
        BOOST_CHECK_MESSAGE(violation.empty(), violation);
    }
    BOOST_TEST_MESSAGE(result.seeds << " seeds, " << result.terms << " terms, " << result.moves
                                    << " keys moved");
    BOOST_CHECK_GT(result.moves, 0U);
    BOOST_CHECK_GE(result.terms, static_cast<std::size_t>(result.seeds));
}

} // namespace

// A ctest entry of its own names this suite, so that the other tests of the module stay short.
BOOST_AUTO_TEST_SUITE(ownership_simulation, *boost::unit_test::disabled())

// Guards against two owners under overlapping faults.
BOOST_AUTO_TEST_CASE(each_key_has_one_owner)
{
    check(simulate({}));
}

// Guards against a backend server that gets keys after a restart with a token that it or others had before.
BOOST_AUTO_TEST_CASE(each_life_of_a_backend_server_gets_keys_with_higher_tokens)
{
    model_options options;
    options.is_each_life_checked = true;
    check(simulate(options));
}

// Guards against a simulation that misses keys that are given on while their holder works on them: with a
// repeated release that is answered before the work has ended they are.
BOOST_AUTO_TEST_CASE(work_that_outlasts_the_answer_to_a_repeated_release_is_found)
{
    model_options options;
    options.is_repeated_release_answered_early = true;
    const auto result = simulate(options);
    BOOST_TEST_MESSAGE(result.violations.size() << " of " << result.seeds << " seeds");
    BOOST_CHECK(!result.violations.empty());
}

// Guards against a simulation that misses a backend server that accepts calls for the former one at its
// address: without a later token it gets keys with the token of the former one.
BOOST_AUTO_TEST_CASE(a_successor_that_accepts_calls_for_the_former_backend_server_is_found)
{
    model_options options;
    options.is_any_id_accepted = true;
    options.is_reconnection_ignored = true;
    const auto result = simulate(options);
    BOOST_TEST_MESSAGE(result.violations.size() << " of " << result.seeds << " seeds");
    BOOST_CHECK(!result.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()
