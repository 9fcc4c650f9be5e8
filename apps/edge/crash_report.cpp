#include "apps/edge/crash_report.hpp"

#include <array>
#include <csignal>
#include <execinfo.h>
#include <string_view>
#include <unistd.h>

namespace briarfold::edge {

namespace {

constexpr int max_frames = 48;

/// Async-signal-safe, since report_crashes() has already made backtrace() load its library.
void write_backtrace(int signal_number)
{
    constexpr std::string_view headline = "fault; calls that led to it:\n";
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, headline.data(), headline.size());
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), max_frames);
    ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    std::signal(signal_number, SIG_DFL);
    std::raise(signal_number);
}

} // namespace

void report_crashes()
{
    std::array<void*, 1> frame{};
    // The first call of backtrace() loads a library, which allocates memory.
    ::backtrace(frame.data(), 1);
    for (const int signal_number : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE})
    {
        std::signal(signal_number, write_backtrace);
    }
}

} // namespace briarfold::edge
