/// Loopback ports that are free at the time of the call.
#pragma once

namespace briarfold::scenarios {

/// A port that no socket of either protocol uses, different at each call. The range lies below the ports that
/// outgoing connections take. Throws core::error when none is left.
unsigned short take_port();

} // namespace briarfold::scenarios
