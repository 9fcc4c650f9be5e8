/// Result of checking a request against the limits of a contract.
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

/// Counts as one request in flight until the last copy is destroyed.
using permit = std::shared_ptr<void>;

/// Admission with a permit, or refusal without one: the request was not run, and a retry may succeed after
/// `retry_after`.
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
