#include "dispatch/work_estimate.hpp"

#include <algorithm>

namespace briarfold::dispatch {

namespace {

/// Estimate before the first answer: between the work times of the current services, 64 to 290 ms.
constexpr double default_mean_ms = 150;
/// Weight of one answer in the moving average, which covers about the last 50 answers of a route and the last
/// 12 of a backend server.
constexpr double route_weight = 0.02;
constexpr double server_weight = 0.08;
/// Bounds of the slowness of one answer, so that an outlier of five times the mean does not dominate the
/// estimate.
constexpr double max_slowness = 16;
constexpr double min_slowness = 0.1;
/// A machine does not work more than ten times faster than usual.
constexpr double min_machine_duration = 0.1;

double moving_average(double old, double value, double weight)
{
    return old + weight * (value - old);
}

} // namespace

void work_estimate::record(std::string_view route, std::string_view backend_server, double work_ms,
                           double machine_duration)
{
    work_ms /= std::max(machine_duration, min_machine_duration);
    const double slow = slowness(backend_server);
    const auto mean = mean_ms_.try_emplace(std::string(route), work_ms / slow).first;
    const double ratio = std::clamp(work_ms / std::max(mean->second, 1.0), min_slowness, max_slowness);
    auto& server = slowness_.try_emplace(std::string(backend_server), 1.0).first->second;
    server = moving_average(server, ratio, server_weight);
    mean->second = moving_average(mean->second, work_ms / slow, route_weight);
}

double work_estimate::mean_ms(std::string_view route) const
{
    const auto position = mean_ms_.find(route);
    return position == mean_ms_.end() ? default_mean_ms : position->second;
}

double work_estimate::slowness(std::string_view backend_server) const
{
    const auto position = slowness_.find(backend_server);
    return position == slowness_.end() ? 1.0 : position->second;
}

void work_estimate::forget(std::string_view backend_server)
{
    if (const auto position = slowness_.find(backend_server); position != slowness_.end())
    {
        slowness_.erase(position);
    }
}

} // namespace briarfold::dispatch
