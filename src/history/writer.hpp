/// Appends history lines to the file of this process.
#pragma once

#include "history/event.hpp"

#include <filesystem>
#include <memory>
#include <string>

namespace briarfold::history {

enum class flush_policy
{
    /// Each line reaches the operating system before `write` returns, so that a killed process loses none.
    each_line,
    /// Lines are handed over when 64 KiB are waiting or 200 ms have passed, by a thread of the writer.
    buffered
};

/// Thread-safe. A writer with an empty path discards everything, so callers need no check.
class writer
{
public:
    /// Throws core::error when the file cannot be opened.
    writer(const std::filesystem::path& path, std::string process, flush_policy policy);
    ~writer();
    writer(const writer&) = delete;
    writer& operator=(const writer&) = delete;

    /// Sets the process and, when it is zero, the time of the event.
    void write(event value);
    void flush();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briarfold::history
