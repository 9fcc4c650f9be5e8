/// Request targets of the stand-ins: a path and percent-decoded query parameters.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace briarfold::standins {

struct target
{
    std::string path;
    std::map<std::string, std::string> query;

    /// The parameter as a number, or `fallback` when it is absent. Throws core::error when it is no number.
    std::int64_t number(const std::string& name, std::int64_t fallback) const;
    /// What follows `prefix` in the path; empty when the path does not start with it.
    std::string after(const std::string& prefix) const;
};

target parse_target(const std::string& text);

} // namespace briarfold::standins
