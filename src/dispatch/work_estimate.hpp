/// Expected work of requests, learned from answers.
#pragma once

#include "core/clock.hpp"

#include <map>
#include <string>
#include <string_view>

namespace briarfold::dispatch {

/// Mean work of each route on an average backend server, and the speed of each backend server relative to
/// that average. Not thread-safe.
class work_estimate
{
public:
    /// Records the time of one answer. `machine_duration` is the present duration of work on the backend
    /// server's machine relative to the usual one, by which the time is divided: a noisy neighbour makes
    /// neither the route nor the backend server slow.
    void record(std::string_view route, std::string_view backend_server, double work_ms,
                double machine_duration = 1);
    /// Returns the mean work on an average backend server, in milliseconds; a default for an unknown route.
    double mean_ms(std::string_view route) const;
    /// Returns the time that the backend server takes relative to the average: 2 is twice as slow. Returns 1
    /// for an unknown backend server.
    double slowness(std::string_view backend_server) const;
    void forget(std::string_view backend_server);

private:
    std::map<std::string, double, std::less<>> mean_ms_;
    std::map<std::string, double, std::less<>> slowness_;
};

} // namespace briarfold::dispatch
