// briarfold-scenario: runs a named failure scenario against separate processes.
#include "core/error.hpp"
#include "scenarios/runner.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace briarfold;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

void list_scenarios()
{
    for (const auto& item : scenarios::all_scenarios())
    {
        std::cout << item.name << ": " << item.description << "\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    scenarios::run_options wanted;
    std::string name;
    options::options_description all("briarfold-scenario NAME");
    auto add = all.add_options();
    add("help", "show the options");
    add("list", "list the scenarios");
    add("name", options::value(&name), "scenario");
    add("seed", options::value(&wanted.seed)->default_value(wanted.seed), "decides what is drawn");
    add("deployment", options::value(&wanted.deployment), "fairway or teranga");
    add("long", options::bool_switch(&wanted.is_long), "full lengths of faults");
    add("keep", options::bool_switch(&wanted.keeps_files), "keep settings, logs and histories");
    options::positional_options_description positional;
    positional.add("name", 1);
    try
    {
        options::variables_map settings;
        options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(),
                       settings);
        options::notify(settings);
        if (settings.count("list") != 0)
        {
            list_scenarios();
            return 0;
        }
        if (settings.count("help") != 0 || name.empty())
        {
            std::cout << all << "\n";
            return settings.count("help") != 0 ? 0 : exit_usage;
        }
        return scenarios::run_scenario(scenarios::find_scenario(name), wanted) ? 0 : exit_failed;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "briarfold-scenario: " << failure.what() << "\n";
        return exit_usage;
    }
}
