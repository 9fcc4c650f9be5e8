// G3, G4 and G5, by request id.
#include "history/internal/checks.hpp"

#include <algorithm>
#include <map>

namespace briarfold::history::internal {

namespace {

constexpr unsigned status_ok = 200;

struct request_record
{
    const event* call = nullptr;
    std::vector<const event*> outcomes;
    std::vector<const event*> runs;
};

using request_records = std::map<std::string, request_record>;

request_records collect(const std::vector<event>& events)
{
    request_records records;
    for (const auto& value : events)
    {
        if (value.kind == event_kind::call)
        {
            records[value.fields.at("request_id")].call = &value;
        }
        if (value.kind == event_kind::outcome)
        {
            records[value.fields.at("request_id")].outcomes.push_back(&value);
        }
        if (value.kind == event_kind::execute)
        {
            records[value.fields.at("request_id")].runs.push_back(&value);
        }
    }
    return records;
}

bool is_own_answer(const std::string& id, const request_record& record, const event& outcome)
{
    if (outcome.fields.at("answer_id") != id)
    {
        return false;
    }
    // Only an executed request has an answer of the backend server to compare with.
    return outcome.fields.at("status") != status_ok ||
           std::ranges::any_of(record.runs, [&](const event* run) {
               return run->fields.at("answer_hash") == outcome.fields.at("answer_hash");
           });
}

void check_outcome(const std::string& id, const request_record& record, const event& outcome,
                   std::vector<violation>& found)
{
    const std::string told = outcome.fields.at("outcome");
    if (told == "answered" && !is_own_answer(id, record, outcome))
    {
        found.push_back({violation_kind::wrong_answer, outcome.time,
                         id + " got an answer of \"" + outcome.fields.at("answer_id").get<std::string>() +
                             "\" that none of its " + std::to_string(record.runs.size()) + " runs gave"});
    }
    if (told == "refused-not-run" && !record.runs.empty())
    {
        found.push_back(
            {violation_kind::ran_despite_not_run, outcome.time,
             id + " ran on " + record.runs.front()->fields.at("backend_server").get<std::string>()});
    }
}

void check_record(const std::string& id, const request_record& record, std::vector<violation>& found)
{
    std::ranges::for_each(record.outcomes,
                          [&](const event* outcome) { check_outcome(id, record, *outcome, found); });
    if (record.call == nullptr)
    {
        return;
    }
    if (record.outcomes.size() != 1)
    {
        found.push_back({violation_kind::unaccounted_request, record.call->time,
                         id + " has " + std::to_string(record.outcomes.size()) + " outcomes"});
    }
    if (!record.call->fields.at("idempotent").get<bool>() && record.runs.size() > 1)
    {
        found.push_back({violation_kind::second_run, record.runs[1]->time,
                         id + " ran on " + record.runs[0]->fields.at("backend_server").get<std::string>() +
                             " and " + record.runs[1]->fields.at("backend_server").get<std::string>()});
    }
}

} // namespace

void check_requests(const std::vector<event>& events, std::vector<violation>& found)
{
    for (const auto& [id, record] : collect(events))
    {
        check_record(id, record, found);
    }
}

} // namespace briarfold::history::internal
