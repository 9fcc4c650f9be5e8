#include "history/reader.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <fstream>

namespace briarfold::history {

namespace {

void read_file(const std::filesystem::path& path, std::vector<event>& events)
{
    std::ifstream file(path);
    if (!file)
    {
        throw core::error("read history", "", "cannot open " + path.string());
    }
    std::string line;
    for (std::size_t number = 1; std::getline(file, line); ++number)
    {
        // Only a complete line ends before the end of the file.
        const bool is_incomplete = file.eof();
        if (line.empty() || is_incomplete)
        {
            continue;
        }
        try
        {
            events.push_back(parse_line(line));
        }
        catch (const core::error& failure)
        {
            throw core::error("read history", "",
                              path.string() + ":" + std::to_string(number) + ": " + failure.what());
        }
    }
}

} // namespace

std::vector<event> read_files(const std::vector<std::filesystem::path>& paths)
{
    std::vector<event> events;
    for (const auto& path : paths)
    {
        read_file(path, events);
    }
    std::ranges::stable_sort(events, {}, &event::time);
    return events;
}

} // namespace briarfold::history
