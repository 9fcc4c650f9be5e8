/// Finds violations of the guarantees G1 to G8 in a history. docs/design.md sections 1.1 and 8.
#pragma once

#include "core/clock.hpp"
#include "history/event.hpp"

#include <string>
#include <vector>

namespace briarfold::history {

enum class violation_kind
{
    /// G1: two backend servers held a key at once, or one applied an effect without holding the key.
    two_owners,
    /// G1: a backend server accepted slices that its row did not list.
    grant_outside_assignment,
    /// G2: an accepted assignment disappeared, or a hash has no row after the service was initialised.
    lost_assignment,
    /// G3: an answer of another request, or one that no backend server gave.
    wrong_answer,
    /// G4: the caller was told "not run", but the request ran.
    ran_despite_not_run,
    /// G5: a non-idempotent request ran twice.
    second_run,
    /// G6: new work on a leaving backend server after the bound.
    work_on_leaving,
    /// G7: a graceful stop cut off work in flight.
    cut_off_by_stop,
    /// G8: a router went back to an older contract version.
    contract_went_back,
    /// G8: a router had a contract version in force too late.
    contract_late,
    /// A request without an outcome, or with more than one.
    unaccounted_request
};

std::string to_string(violation_kind value);

struct violation
{
    violation_kind kind = violation_kind::two_owners;
    core::time_point time;
    /// Names the processes, requests and hashes concerned.
    std::string what;

    bool operator==(const violation&) const = default;
};

struct check_options
{
    /// How long a leaving backend server may still receive work.
    core::duration leaving_bound{3000};
    /// How long a router may take to apply an accepted contract.
    core::duration contract_bound{5000};
};

/// `events` are ordered by time, as read_files gives them. Throws core::error when a field is missing.
std::vector<violation> check(const std::vector<event>& events, const check_options& options = {});

} // namespace briarfold::history
