/// Finds out from the decision logs of several routers what happened to one request.
#pragma once

#include <nlohmann/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace briarfold::ctl {

/// Lines of the decision log in the order of their time.
struct explanation
{
    /// Lines that name the request.
    std::vector<nlohmann::json> history;
    /// Earlier lines on the backend servers that the history names, shortly before it.
    std::vector<nlohmann::json> background;
    /// One sentence; empty when no line names the request.
    std::string cause;
    /// Lines that are no JSON object.
    std::size_t malformed = 0;
};

/// Reads each log to its end. A line may have other text before its object, as log collectors add it.
explanation explain(const std::string& request, const std::vector<std::istream*>& logs);

} // namespace briarfold::ctl
