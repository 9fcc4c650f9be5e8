/// Outcome of asking the limits of a contract.
#pragma once

#include "core/clock.hpp"

#include <memory>
#include <string>

namespace briarfold::limits {

enum class limit_kind
{
    none,
    rate,
    concurrency
};

std::string to_string(limit_kind value);

/// Counts as one request in progress until the last copy is gone.
using permit = std::shared_ptr<void>;

/// Without a permit the request was not run; `retry_after` is when a repeat has a chance.
struct admission
{
    admission() = default;
    explicit admission(permit granted) : granted_permit(std::move(granted)) {}
    admission(limit_kind limit, core::duration wait) : refused_by(limit), retry_after(wait) {}

    explicit operator bool() const { return granted_permit != nullptr; }

    permit granted_permit;
    limit_kind refused_by = limit_kind::none;
    core::duration retry_after;
};

} // namespace briarfold::limits
