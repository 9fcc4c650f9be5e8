#include "routes/route_table.hpp"

#include "core/key_hash.hpp"

#include <algorithm>
#include <numeric>

namespace briarfold::routes {

namespace {

/// Number of turns after which splits of whole percentages repeat.
constexpr std::uint64_t max_phase = 100;

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool route_table::apply(routing_config next)
{
    if (next.version <= config_.version)
    {
        return false;
    }
    config_ = std::move(next);
    positions_.clear();
    split_weights_.clear();
    for (std::size_t i = 0; i < config_.routes.size(); ++i)
    {
        positions_.emplace(normalized_host(config_.routes[i].host) + config_.routes[i].prefix, i);
    }
    return true;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto position = std::ranges::find(config_.services, name, &service::name);
    return position == config_.services.end() ? nullptr : &*position;
}

const route* route_table::match(std::string_view host, std::string_view path) const
{
    const auto path_without_query = path.substr(0, path.find('?'));
    // A prefix ends with a slash, so only the parts of the path up to one of its slashes can match.
    auto host_and_prefix = normalized_host(host);
    const auto host_size = host_and_prefix.size();
    host_and_prefix += path_without_query;
    for (auto slash = host_and_prefix.rfind('/'); slash != std::string::npos && slash >= host_size;
         slash = host_and_prefix.rfind('/'))
    {
        host_and_prefix.resize(slash + 1);
        if (const auto found = positions_.find(host_and_prefix); found != positions_.end())
        {
            return &config_.routes[found->second];
        }
        host_and_prefix.resize(slash);
    }
    return nullptr;
}

const std::string& route_table::choose_service(const route& matched)
{
    if (matched.services.size() == 1)
    {
        return matched.services.front().service;
    }
    const auto [position, is_new] = split_weights_.try_emplace(matched.name, matched.services.size());
    // Two routes of a configuration may have the same name.
    position->second.resize(matched.services.size());
    if (is_new)
    {
        // Routes differ in their start as well, or they would all take the same turn after a change.
        const auto turns = (phase_ + core::text_hash(matched.name)) % max_phase;
        for (std::uint64_t i = 0; i < turns; ++i)
        {
            take_turn(matched, position->second);
        }
    }
    return matched.services[take_turn(matched, position->second)].service;
}

std::size_t route_table::take_turn(const route& matched, std::vector<int>& weights)
{
    const int total = std::accumulate(matched.services.begin(), matched.services.end(), 0,
                                      [](int sum, const auto& part) { return sum + part.weight; });
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        weights[i] += matched.services[i].weight;
    }
    const auto chosen = static_cast<std::size_t>(std::ranges::max_element(weights) - weights.begin());
    weights[chosen] -= total;
    return chosen;
}

std::string normalized_host(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(), to_lower);
    return name;
}

} // namespace briarfold::routes
