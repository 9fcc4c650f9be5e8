#include "routes/route_table.hpp"

#include <algorithm>
#include <numeric>

namespace briarfold::routes {

namespace {

char lower(char c)
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
    split_credit_.clear();
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
    const auto plain = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so only the parts of the path up to each of its slashes can be one.
    auto text = normalized_host(host);
    const auto host_size = text.size();
    text += plain;
    for (auto slash = text.rfind('/'); slash != std::string::npos && slash >= host_size;
         slash = text.rfind('/'))
    {
        text.resize(slash + 1);
        if (const auto found = positions_.find(text); found != positions_.end())
        {
            return &config_.routes[found->second];
        }
        text.resize(slash);
    }
    return nullptr;
}

const std::string& route_table::choose_service(const route& matched)
{
    if (matched.services.size() == 1)
    {
        return matched.services.front().service;
    }
    auto& credit = split_credit_[matched.name];
    credit.resize(matched.services.size());
    const int total = std::accumulate(matched.services.begin(), matched.services.end(), 0,
                                      [](int sum, const auto& part) { return sum + part.weight; });
    for (std::size_t i = 0; i < credit.size(); ++i)
    {
        credit[i] += matched.services[i].weight;
    }
    const auto chosen = static_cast<std::size_t>(std::ranges::max_element(credit) - credit.begin());
    credit[chosen] -= total;
    return matched.services[chosen].service;
}

std::string normalized_host(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::ranges::transform(name, name.begin(), lower);
    return name;
}

} // namespace briarfold::routes
