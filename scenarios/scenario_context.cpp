#include "core/error.hpp"
#include "scenarios/scenario.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>
#include <iostream>
#include <set>

namespace briarfold::scenarios {

namespace {

constexpr core::duration progress_limit{30000};

} // namespace

void scenario_context::begin_fault(const std::string& name, const std::vector<std::string>& targets,
                                   const std::vector<std::string>& backend_servers)
{
    history.write(history::make_fault(name, true, targets));
    const std::scoped_lock lock(mutex_);
    marks_.push_back({name, core::clock::now(), backend_servers});
}

std::vector<fault_mark> scenario_context::marks() const
{
    const std::scoped_lock lock(mutex_);
    return marks_;
}

std::vector<std::string> scenario_context::failures() const
{
    const std::scoped_lock lock(mutex_);
    return failures_;
}

std::size_t scenario_context::draw(std::size_t count)
{
    const std::scoped_lock lock(mutex_);
    return static_cast<std::size_t>(random_() % count);
}

void scenario_context::end_fault(const std::string& name, const std::vector<std::string>& targets)
{
    history.write(history::make_fault(name, false, targets));
}

void scenario_context::fail(const std::string& what)
{
    {
        const std::scoped_lock lock(mutex_);
        failures_.push_back(what);
    }
    note("failed: " + what);
}

void scenario_context::require(bool condition, const std::string& what)
{
    if (!condition)
    {
        fail(what);
    }
}

void scenario_context::note(const std::string& text)
{
    const std::scoped_lock lock(mutex_);
    std::cout << text << std::endl;
}

backend_handle& scenario_context::draw_owner(const std::string& except, const std::string& service)
{
    std::set<std::string> ids;
    for (const auto& [key, id] : load.owners())
    {
        if (id != except && (service.empty() || key.starts_with(service + "/")))
        {
            ids.insert(id);
        }
    }
    if (ids.empty())
    {
        throw core::error("draw owner", "", "no key was answered yet");
    }
    return system.backend(*std::next(ids.begin(), static_cast<std::ptrdiff_t>(draw(ids.size()))));
}

void scenario_context::wait_for_answers(std::int64_t count)
{
    const auto goal = load.counts().answered + count;
    wait_until(std::to_string(count) + " more answers", progress_limit,
               [&] { return load.counts().answered >= goal; });
}

void scenario_context::wait_for_new_owners(const std::string& backend_server)
{
    wait_until("all keys of " + backend_server + " are answered by others", progress_limit, [&] {
        return std::ranges::none_of(load.owners(),
                                    [&](const auto& item) { return item.second == backend_server; });
    });
}

} // namespace briarfold::scenarios
