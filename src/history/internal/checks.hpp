/// The parts of the checker; each finds its kinds of violations in events ordered by time.
#pragma once

#include "history/checker.hpp"
#include "ownership/ownership_types.hpp"

#include <boost/icl/closed_interval.hpp>
#include <boost/icl/interval_set.hpp>

namespace briarfold::history::internal {

/// Slices as a set of closed intervals of hashes.
using hash_set =
    boost::icl::interval_set<std::uint64_t, std::less, boost::icl::closed_interval<std::uint64_t>>;

hash_set to_hash_set(const std::vector<ownership::slice>& slices);
hash_set slices_of(const event& value);
bool is_store_line(const event& value);

void check_ownership(const std::vector<event>& events, std::vector<violation>& found);
void check_assignments(const std::vector<event>& events, std::vector<violation>& found);
void check_requests(const std::vector<event>& events, std::vector<violation>& found);
void check_leaving(const std::vector<event>& events, const check_options& options,
                   std::vector<violation>& found);
void check_contracts(const std::vector<event>& events, const check_options& options,
                     std::vector<violation>& found);

} // namespace briarfold::history::internal
