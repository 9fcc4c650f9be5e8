#include "trace/measuring_sink.hpp"

namespace briarfold::trace {

void measuring_sink::record(span finished)
{
    registry_
        .summary("briarfold_hop_duration_ms", "Time that requests spend at each hop, in milliseconds.",
                 {{"hop", finished.name}, {"result", finished.is_error ? "error" : "answered"}})
        .record(static_cast<double>(finished.end_ms - finished.start_ms));
    next_.record(std::move(finished));
}

} // namespace briarfold::trace
