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
    routes_by_host_.clear();
    split_credit_.clear();
    for (std::size_t i = 0; i < config_.routes.size(); ++i)
    {
        routes_by_host_.emplace(normalized_host(config_.routes[i].host), i);
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
    const auto query = path.find('?');
    const auto plain = path.substr(0, query);
    const auto [begin, end] = routes_by_host_.equal_range(normalized_host(host));
    const route* best = nullptr;
    std::for_each(begin, end, [&](const auto& item) {
        const auto& candidate = config_.routes[item.second];
        const bool is_longer = best == nullptr || candidate.prefix.size() > best->prefix.size();
        if (is_longer && plain.starts_with(candidate.prefix))
        {
            best = &candidate;
        }
    });
    return best;
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
