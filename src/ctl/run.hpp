/// Runs one command of briarfoldctl.
#pragma once

#include "ctl/admin_client.hpp"
#include "ctl/command_line.hpp"

#include <ostream>

namespace briarfold::ctl {

enum exit_code : int
{
    exit_done = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_conflict = 3,
    exit_unauthorized = 4,
    exit_unknown = 5,
    exit_not_in_force = 6
};

/// Prints the result to `out` and errors to `errors`. Does not throw.
exit_code run(const invocation& call, const send_hook& send, std::ostream& out, std::ostream& errors);

} // namespace briarfold::ctl
