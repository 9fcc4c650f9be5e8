/// Record of what clients sent and got, and of what servers ran, as text lines in the order of events.
#pragma once

#include "core/clock.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

namespace briarfold::review {

/// Not thread-safe.
class record
{
public:
    explicit record(const std::filesystem::path& file);

    /// Writes one line with the time since the start in milliseconds.
    void write(const std::string& text);
    /// Writes a broken rule. Only the first lines of each rule are written; all are counted.
    void broken(const std::string& rule, const std::string& text);
    int broken_count(const std::string& rule) const;
    /// Writes the number of broken rules by name. Returns whether there is any.
    bool finish();

private:
    std::ofstream output_;
    core::time_point start_;
    std::map<std::string, int> broken_;
};

} // namespace briarfold::review
