#include "core/error.hpp"
#include "scenarios/scenario.hpp"

#include <algorithm>
#include <iterator>

namespace briarfold::scenarios {

const std::vector<scenario>& all_scenarios()
{
    static const std::vector<scenario> list = [] {
        std::vector<scenario> all;
        for (auto part : {process_scenarios(), network_scenarios(), store_scenarios(), operator_scenarios()})
        {
            std::ranges::move(part, std::back_inserter(all));
        }
        return all;
    }();
    return list;
}

const scenario& find_scenario(const std::string& name)
{
    const auto& list = all_scenarios();
    const auto found = std::ranges::find(list, name, &scenario::name);
    if (found == list.end())
    {
        throw core::error("choose scenario", "", "unknown scenario \"" + name + "\"; --list shows all");
    }
    return *found;
}

} // namespace briarfold::scenarios
