#include "limits/share_types.hpp"

#include "core/error.hpp"
#include "limits/limit_types.hpp"

#include <algorithm>
#include <cmath>

namespace briarfold::limits {

namespace {

/// Rates are sent with three decimals, since message sizes count towards a router's budget for control
/// traffic.
double round_down_to_thousandths(double value)
{
    constexpr double scale = 1000;
    return std::floor(value * scale) / scale;
}

template <class Parse>
auto convert_json_errors(const char* step, Parse parse)
{
    try
    {
        return parse();
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw core::error(step, "", failure.what());
    }
}

} // namespace

std::string to_string(limit_kind value)
{
    switch (value)
    {
    case limit_kind::rate:
        return "rate";
    case limit_kind::concurrency:
        return "concurrency";
    case limit_kind::none:
        break;
    }
    return "none";
}

nlohmann::json to_json(const share_request& value)
{
    return {{"customer", value.customer},
            {"rate", round_down_to_thousandths(value.rate)},
            {"concurrency", value.concurrency},
            {"held_rate", round_down_to_thousandths(value.held_rate)},
            {"held_concurrency", value.held_concurrency}};
}

nlohmann::json to_json(const share_grant& value)
{
    return {{"customer", value.customer},
            {"rate", round_down_to_thousandths(value.rate)},
            {"concurrency", value.concurrency},
            {"lease_ms", value.lease.ms}};
}

share_request parse_share_request(const nlohmann::json& value)
{
    return convert_json_errors("parse share request", [&value] {
        return share_request{value.at("customer").get<std::string>(), value.at("rate").get<double>(),
                             value.at("concurrency").get<std::int64_t>(), value.at("held_rate").get<double>(),
                             value.at("held_concurrency").get<std::int64_t>()};
    });
}

share_grant parse_share_grant(const nlohmann::json& value)
{
    return convert_json_errors("parse share grant", [&value] {
        return share_grant{value.at("customer").get<std::string>(),
                           value.at("rate").get<double>(),
                           value.at("concurrency").get<std::int64_t>(),
                           {value.at("lease_ms").get<std::int64_t>()}};
    });
}

shared_limits equal_share(const shared_limits& total, std::size_t routers)
{
    const auto count = static_cast<double>(std::max<std::size_t>(routers, 1));
    return {
        total.rate / count, std::max(1.0, total.burst / count),
        std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(total.concurrency) / count))};
}

shared_limits reserve_share(const shared_limits& total, std::size_t routers)
{
    auto share = equal_share(total, routers);
    share.rate *= share_timing::reserve_fraction;
    share.concurrency =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(share.concurrency) *
                                                            share_timing::reserve_fraction));
    return share;
}

} // namespace briarfold::limits
