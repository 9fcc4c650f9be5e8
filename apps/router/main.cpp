// briarfold-router: runs one instance of the router.
#include "apps/router/router_app.hpp"

#include <boost/program_options.hpp>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace briarfold;

constexpr int exit_failure = 2;

int run(const options::variables_map& chosen)
{
    const auto values = settings::load_settings(chosen["config"].as<std::string>());
    if (chosen.count("print-settings") != 0)
    {
        std::cout << settings::to_text(values);
        return 0;
    }
    if (chosen.count("check") != 0)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    router::router_app app(values);
    const int status = app.run();
    std::cout.flush();
    spdlog::shutdown();
    // Exit without destructors: suspended coroutines still refer to the components of the router.
    std::_Exit(status);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description all("briarfold-router --config FILE");
    auto add = all.add_options();
    add("help", "show the options");
    add("config", options::value<std::string>()->required(), "settings file (TOML)");
    add("check", "check the settings file and exit");
    add("print-settings", "print the effective settings, tokens masked, and exit");
    try
    {
        options::variables_map chosen;
        options::store(options::parse_command_line(argc, argv, all), chosen);
        if (chosen.count("help") != 0)
        {
            std::cout << all << "\n";
            return 0;
        }
        options::notify(chosen);
        return run(chosen);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "briarfold-router: " << failure.what() << "\n";
        return exit_failure;
    }
}
