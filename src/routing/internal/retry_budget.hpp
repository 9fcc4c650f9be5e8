/// Retries as a share of requests, for each customer and backend server.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace briarfold::routing::internal {

/// Not thread-safe. Each request earns its share of a retry, up to a small reserve, so that a backend server
/// that fails every request receives at most (1 + share) times the load.
class retry_budget
{
public:
    void on_request(const std::string& customer, double share)
    {
        auto& tokens = find(customer);
        tokens = std::min(tokens + share, reserve);
    }

    /// Whether one retry is allowed; takes it.
    bool take(const std::string& customer)
    {
        auto& tokens = find(customer);
        if (tokens < 1)
        {
            return false;
        }
        tokens -= 1;
        return true;
    }

private:
    /// Retries of a customer with little traffic, so that single failures are covered from the start.
    static constexpr double reserve = 10;

    double& find(const std::string& customer) { return tokens_.try_emplace(customer, reserve).first->second; }

    std::map<std::string, double> tokens_;
};

} // namespace briarfold::routing::internal
