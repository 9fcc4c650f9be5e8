#include "ctl/run.hpp"

#include <cstdlib>
#include <iostream>

int main(int count, char** words)
{
    using namespace briarfold::ctl;
    std::map<std::string, std::string> environment;
    for (const auto* name : {"BRIARFOLD_ROUTERS", "BRIARFOLD_ADMIN_TOKEN", "USER"})
    {
        if (const auto* value = std::getenv(name))
        {
            environment[name] = value;
        }
    }
    try
    {
        const auto call = parse_command_line({words + 1, words + count}, environment);
        if (!call.help.empty())
        {
            std::cout << call.help;
            return exit_done;
        }
        return run(call, make_sender(call.routers, call.token, call.timeout), std::cout, std::cerr);
    }
    catch (const std::exception& failure)
    {
        std::cerr << "error: " << failure.what() << "\n";
        return exit_usage;
    }
}
