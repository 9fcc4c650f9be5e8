#include "apps/edge/crash_report.hpp"

#include <array>
#include <csignal>
#include <cstddef>
#include <execinfo.h>
#include <string_view>
#include <unistd.h>

namespace briarfold::edge {

namespace {

constexpr int max_frames = 48;
constexpr std::array fault_signals{SIGSEGV, SIGABRT, SIGBUS, SIGFPE};
/// Unwinding takes a few kilobytes; a handler on the stack that has overflowed could not run at all.
constexpr std::size_t handler_stack_bytes = std::size_t{64} * 1024;
alignas(std::max_align_t) std::array<std::byte, handler_stack_bytes> handler_stack;

constexpr std::string_view headline(int signal_number)
{
    switch (signal_number)
    {
    case SIGSEGV:
        return "fault (SIGSEGV); calls that led to it:\n";
    case SIGABRT:
        return "fault (SIGABRT); calls that led to it:\n";
    case SIGBUS:
        return "fault (SIGBUS); calls that led to it:\n";
    default:
        return "fault (SIGFPE); calls that led to it:\n";
    }
}

/// Async-signal-safe, since report_crashes() has already made backtrace() load its library. Must not
/// allocate: the C library aborts while the heap is corrupt, and possibly while it holds the lock of the
/// heap.
void write_backtrace(int signal_number)
{
    // A second fault, in the unwinding of a corrupt stack, ends the process at once.
    for (const int number : fault_signals)
    {
        std::signal(number, SIG_DFL);
    }
    const auto text = headline(signal_number);
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, text.data(), text.size());
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), max_frames);
    ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    std::raise(signal_number);
}

} // namespace

void report_crashes()
{
    std::array<void*, 1> frame{};
    // The first call of backtrace() loads a library, which allocates memory.
    ::backtrace(frame.data(), 1);
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    const bool has_stack = ::sigaltstack(&stack, nullptr) == 0;
    struct sigaction action
    {};
    action.sa_handler = write_backtrace;
    action.sa_flags = has_stack ? SA_ONSTACK : 0;
    sigemptyset(&action.sa_mask);
    for (const int signal_number : fault_signals)
    {
        ::sigaction(signal_number, &action, nullptr);
    }
}

} // namespace briarfold::edge
