#include "apps/edge/crash_report.hpp"

#include <array>
#include <csignal>
#include <execinfo.h>
#include <string_view>
#include <unistd.h>

namespace briarfold::edge {

namespace {

constexpr int most_frames = 48;

/// Uses only what is safe in a signal handler; backtrace() has loaded its library before.
void write_backtrace(int number)
{
    constexpr std::string_view headline = "fault; calls that led to it:\n";
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, headline.data(), headline.size());
    std::array<void*, most_frames> frames{};
    const int count = ::backtrace(frames.data(), most_frames);
    ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    std::signal(number, SIG_DFL);
    std::raise(number);
}

} // namespace

void report_crashes()
{
    std::array<void*, 1> frame{};
    // The first call loads a library, which allocates memory.
    ::backtrace(frame.data(), 1);
    for (const int number : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE})
    {
        std::signal(number, write_backtrace);
    }
}

} // namespace briarfold::edge
