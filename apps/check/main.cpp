// briarfold-check: reports every violation of the guarantees in history files.
#include "history/checker.hpp"
#include "history/reader.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace briarfold;

constexpr int exit_violations = 1;
constexpr int exit_failure = 2;

int run(const std::vector<std::string>& files, const history::check_options& bounds)
{
    const auto events = history::read_files({files.begin(), files.end()});
    const auto found = history::check(events, bounds);
    for (const auto& item : found)
    {
        std::cout << item.time.ms << " " << history::to_string(item.kind) << ": " << item.what << "\n";
    }
    std::cout << "check: " << events.size() << " events, " << found.size() << " violations\n";
    return found.empty() ? 0 : exit_violations;
}

} // namespace

int main(int argc, char** argv)
{
    history::check_options bounds;
    options::options_description all("briarfold-check FILE...");
    auto add = all.add_options();
    add("help", "show the options");
    add("file", options::value<std::vector<std::string>>()->required(), "history file");
    add("leaving-ms", options::value(&bounds.leaving_bound.ms)->default_value(bounds.leaving_bound.ms),
        "how long a leaving backend server may receive work");
    add("contract-ms", options::value(&bounds.contract_bound.ms)->default_value(bounds.contract_bound.ms),
        "how long a router may take to apply a contract");
    options::positional_options_description positional;
    positional.add("file", -1);
    try
    {
        options::variables_map settings;
        options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(),
                       settings);
        if (settings.count("help") != 0)
        {
            std::cout << all << "\n";
            return 0;
        }
        options::notify(settings);
        return run(settings["file"].as<std::vector<std::string>>(), bounds);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "briarfold-check: " << failure.what() << "\n";
        return exit_failure;
    }
}
