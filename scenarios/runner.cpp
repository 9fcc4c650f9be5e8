#include "scenarios/runner.hpp"

#include "core/error.hpp"
#include "core/ids.hpp"
#include "history/checker.hpp"
#include "history/reader.hpp"
#include "scenarios/recovery_report.hpp"
#include "scenarios/waiting.hpp"

#include <algorithm>
#include <iostream>

namespace briarfold::scenarios {

namespace {

constexpr core::duration first_answers_limit{30000};
/// Keys that are not answered this long after a fault would be a loss of service, not a gap.
constexpr core::duration gap_window{15000};
constexpr std::int64_t answers_around_fault = 200;
constexpr std::size_t most_violations_shown = 20;

struct run_result
{
    load_counts counts;
    std::size_t violations = 0;
    bool is_passed = false;
};

void wait_for_all_keys(load_driver& load)
{
    wait_until("every key was answered", first_answers_limit,
               [&] { return load.owners().size() == load.key_count(); });
}

void report_load(scenario_context& context)
{
    for (const auto& [reason, count] : context.load.reasons())
    {
        context.note("  " + std::to_string(count) + " x " + reason);
    }
}

void report_gaps(scenario_context& context, const std::vector<history::event>& events)
{
    for (const auto& mark : context.marks())
    {
        const auto gaps = find_gaps(events, mark.begin, gap_window, [&](const std::string& id) {
            return mark.backend_servers.empty() ||
                   std::ranges::find(mark.backend_servers, id) != mark.backend_servers.end();
        });
        context.note("recovery after " + mark.name + ": " + describe(gaps));
    }
}

std::size_t report_violations(scenario_context& context, const std::vector<history::event>& events)
{
    const auto found = history::check(events);
    for (std::size_t i = 0; i < std::min(found.size(), most_violations_shown); ++i)
    {
        context.note("violation at " + std::to_string(found[i].time.ms) + ": " +
                     history::to_string(found[i].kind) + ": " + found[i].what);
    }
    return found.size();
}

/// The steps between the start of the load and its end; a failure in them is part of the verdict.
void run_steps(const scenario& wanted, scenario_context& context)
{
    try
    {
        wait_for_all_keys(context.load);
        context.wait_for_answers(answers_around_fault);
        wanted.run(context);
        context.wait_for_answers(answers_around_fault);
    }
    catch (const core::error& failure)
    {
        context.fail(failure.what());
    }
}

void judge(const scenario& wanted, scenario_context& context, run_result& result)
{
    const auto& counts = result.counts;
    context.require(counts.sent == counts.answered + counts.refused + counts.unknown,
                    "not every request is accounted for");
    context.require(counts.malformed == 0, std::to_string(counts.malformed) + " answers without an outcome");
    context.require(counts.sent > 0 && static_cast<double>(counts.answered) >=
                                           wanted.floor * static_cast<double>(counts.sent),
                    "fewer requests were answered than the floor of " + std::to_string(wanted.floor));
    result.is_passed = context.failures().empty() && result.violations == 0;
}

run_result run_in(const scenario& wanted, const run_options& options, const std::filesystem::path& folder)
{
    auto spec = make_deployment(options.deployment.empty() ? wanted.deployment : options.deployment);
    if (wanted.adjust)
    {
        wanted.adjust(spec);
    }
    run_result result;
    history::writer lines(folder / "callers.history", "callers", history::flush_policy::buffered);
    deployment system(spec, folder);
    system.wait_ready();
    load_driver load(system, lines, options.seed);
    scenario_context context(system, load, lines, options.seed, options.is_long);
    load.start();
    run_steps(wanted, context);
    load.stop();
    lines.flush();
    result.counts = load.counts();
    // Buffered lines of the routers follow within this time.
    constexpr core::duration flush_time{500};
    sleep_for(flush_time);
    const auto events = history::read_files(system.history_files());
    report_load(context);
    report_gaps(context, events);
    result.violations = report_violations(context, events);
    judge(wanted, context, result);
    return result;
}

} // namespace

bool run_scenario(const scenario& wanted, const run_options& options)
{
    const auto folder = std::filesystem::temp_directory_path() / core::make_id("briarfold-scenario");
    std::filesystem::create_directories(folder);
    run_result result;
    try
    {
        result = run_in(wanted, options, folder);
    }
    catch (const std::exception& failure)
    {
        std::cout << "failed: " << failure.what() << std::endl;
    }
    if (result.is_passed && !options.keeps_files)
    {
        std::filesystem::remove_all(folder);
    }
    else
    {
        std::cout << "files: " << folder.string() << std::endl;
    }
    const auto& counts = result.counts;
    std::cout << wanted.name << ": " << counts.sent << " sent, " << counts.answered << " answered, "
              << counts.refused << " refused, " << counts.unknown << " unknown, " << result.violations
              << " violations" << std::endl;
    return result.is_passed;
}

} // namespace briarfold::scenarios
