/// Retry budget: limits retries to a share of the requests, for each customer and backend server.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace briarfold::routing::internal {

/// Token buckets of retries. Each request adds `share` tokens, up to a small maximum, and each
/// retry takes one, so that a backend server that fails every request receives at most (1 + share) times the
/// load. Not thread-safe.
class retry_budget
{
public:
    void on_request(const std::string& customer, double share)
    {
        auto& tokens = find(customer);
        tokens = std::min(tokens + share, max_tokens);
    }

    /// Takes one token and returns true, or returns false if less than one is left.
    bool try_take(const std::string& customer)
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
    /// Initial and maximum number of tokens, so that a customer with little traffic can retry single failures
    /// from the start.
    static constexpr double max_tokens = 10;

    double& find(const std::string& customer)
    {
        return tokens_.try_emplace(customer, max_tokens).first->second;
    }

    std::map<std::string, double> tokens_;
};

} // namespace briarfold::routing::internal
