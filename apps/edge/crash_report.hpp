/// Reports the call stack when a fault ends the process.
#pragma once

namespace briarfold::edge {

/// Installs signal handlers that write the addresses of the call stack to standard error when a fault occurs,
/// for `addr2line -e briarfold-edge`, and then end the process as without them.
void report_crashes();

} // namespace briarfold::edge
