#include "history/checker.hpp"

#include "core/error.hpp"
#include "history/internal/checks.hpp"

#include <algorithm>
#include <array>

namespace briarfold::history {

namespace {

using named_kind = std::pair<violation_kind, const char*>;
constexpr std::array<named_kind, 11> kind_names{
    {{violation_kind::two_owners, "two owners at once"},
     {violation_kind::grant_outside_assignment, "grant outside the assignment"},
     {violation_kind::lost_assignment, "lost assignment"},
     {violation_kind::wrong_answer, "wrong answer"},
     {violation_kind::ran_despite_not_run, "ran despite \"not run\""},
     {violation_kind::second_run, "second run of a non-idempotent request"},
     {violation_kind::work_on_leaving, "new work on a leaving backend server"},
     {violation_kind::cut_off_by_stop, "work cut off by a graceful stop"},
     {violation_kind::contract_went_back, "contract version went back"},
     {violation_kind::contract_late, "contract version arrived late"},
     {violation_kind::unaccounted_request, "request without exactly one outcome"}}};

} // namespace

std::string to_string(violation_kind value)
{
    return std::ranges::find(kind_names, value, &named_kind::first)->second;
}

std::vector<violation> check(const std::vector<event>& events, const check_options& options)
{
    std::vector<violation> found;
    try
    {
        internal::check_ownership(events, found);
        internal::check_assignments(events, found);
        internal::check_requests(events, found);
        internal::check_leaving(events, options, found);
        internal::check_contracts(events, options, found);
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error("check history", "", failure.what());
    }
    std::ranges::stable_sort(found, {}, &violation::time);
    return found;
}

namespace internal {

hash_set to_hash_set(const std::vector<ownership::slice>& slices)
{
    hash_set set;
    for (const auto& part : slices)
    {
        set.add(boost::icl::closed_interval<std::uint64_t>(part.first, part.last));
    }
    return set;
}

hash_set slices_of(const event& value)
{
    std::vector<ownership::slice> slices;
    std::ranges::transform(value.fields.at("slices").get<std::vector<std::string>>(),
                           std::back_inserter(slices), ownership::parse_slice);
    return to_hash_set(slices);
}

bool is_store_line(const event& value)
{
    return value.fields.value("source", "") == "store";
}

} // namespace internal

} // namespace briarfold::history
