#include "review/support/record.hpp"

#include <iostream>

namespace briarfold::review {

namespace {

constexpr int max_lines_per_rule = 40;

} // namespace

record::record(const std::filesystem::path& file) : output_(file), start_(core::clock::now()) {}

void record::write(const std::string& text)
{
    output_ << (core::clock::now() - start_).ms << ' ' << text << '\n';
    output_.flush();
}

void record::broken(const std::string& rule, const std::string& text)
{
    if (++broken_[rule] <= max_lines_per_rule)
    {
        write("BROKEN " + rule + ": " + text);
    }
}

int record::broken_count(const std::string& rule) const
{
    const auto position = broken_.find(rule);
    return position == broken_.end() ? 0 : position->second;
}

bool record::finish()
{
    for (const auto& [rule, count] : broken_)
    {
        write("result: " + rule + " broken " + std::to_string(count) + " times");
        std::cout << rule << " broken " << count << " times\n";
    }
    if (broken_.empty())
    {
        write("result: no rule broken");
        std::cout << "no rule broken\n";
    }
    return !broken_.empty();
}

} // namespace briarfold::review
