/// Where hops report their spans.
#pragma once

#include "trace/trace_types.hpp"

namespace briarfold::trace {

/// Thread-safe, and does not wait for files.
class ispan_sink
{
public:
    virtual ~ispan_sink() = default;

    virtual void record(span finished) = 0;
};

} // namespace briarfold::trace
