/// Tells where the process was when a fault ended it.
#pragma once

namespace briarfold::edge {

/// From now on a fault of the process writes the addresses of the calls that led to it to standard error, for
/// `addr2line -e briarfold-edge`, and ends the process as before.
void report_crashes();

} // namespace briarfold::edge
