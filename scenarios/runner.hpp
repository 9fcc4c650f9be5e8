/// Runs one scenario against fresh processes and judges it.
#pragma once

#include "scenarios/scenario.hpp"

#include <cstdint>
#include <string>

namespace briarfold::scenarios {

struct run_options
{
    std::uint64_t seed = 1;
    /// Empty: the scenario's own.
    std::string deployment;
    /// Full lengths of faults.
    bool is_long = false;
    /// Keeps settings, logs and histories; they are kept in any case when the run fails.
    bool keeps_files = false;
};

/// Prints the report, whose last line is "<name>: N sent, N answered, N refused, N unknown, N violations".
/// Returns whether the scenario passed.
bool run_scenario(const scenario& wanted, const run_options& options);

} // namespace briarfold::scenarios
