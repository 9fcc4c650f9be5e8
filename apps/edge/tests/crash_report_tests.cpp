/// Each test starts a child process that installs the program's own handlers and then ends by a fault. They
/// guard against a process that ends without a stack trace, or that hangs in its handler.
#include "apps/edge/crash_report.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

/// A handler that waits for the lock of the heap would hang.
constexpr unsigned child_seconds = 10;

struct child_end
{
    int signal_number = 0;
    std::string errors;
};

child_end run_child(const std::function<void()>& fail)
{
    std::array<int, 2> pipe_ends{};
    BOOST_REQUIRE(::pipe(pipe_ends.data()) == 0);
    const pid_t child = ::fork();
    if (child == 0)
    {
        const rlimit no_core{0, 0};
        ::setrlimit(RLIMIT_CORE, &no_core);
        ::dup2(pipe_ends[1], STDERR_FILENO);
        // Boost.Test may have installed handlers and a stack for them.
        briarfold::edge::report_crashes();
        ::alarm(child_seconds);
        fail();
        ::_exit(EXIT_SUCCESS);
    }
    ::close(pipe_ends[1]);
    child_end result;
    std::array<char, 4096> block{};
    for (auto size = ::read(pipe_ends[0], block.data(), block.size()); size > 0;
         size = ::read(pipe_ends[0], block.data(), block.size()))
    {
        result.errors.append(block.data(), static_cast<std::size_t>(size));
    }
    ::close(pipe_ends[0]);
    int status = 0;
    BOOST_REQUIRE(::waitpid(child, &status, 0) == child);
    result.signal_number = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return result;
}

void check_trace(const child_end& end, int signal_number, const std::string& headline)
{
    BOOST_TEST(end.signal_number == signal_number);
    const auto start = end.errors.find(headline);
    BOOST_REQUIRE_MESSAGE(start != std::string::npos, end.errors);
    // A frame of the program itself, with the offset for addr2line.
    BOOST_TEST(end.errors.find("edge_app_tests", start) != std::string::npos);
}

/// Overwrites the links of a released chunk, as a write after the release does. The release of its neighbour
/// merges both and makes the C library abort with "corrupted double-linked list".
void corrupt_heap()
{
    // Larger than any free chunk of the child, so that the chunks are neighbours at the end of the heap, and
    // too large for the thread's cache, so that the released one gets into a linked list.
    constexpr std::size_t chunk_bytes = std::size_t{96} * 1024;
    static std::array<std::uintptr_t, 8> other_chunk{};
    void* const released = std::malloc(chunk_bytes);
    // The compiler would report a plain pointer that is used after the release.
    void* volatile const address = released;
    void* const neighbour = std::malloc(chunk_bytes);
    void* volatile guard = std::malloc(chunk_bytes);
    std::free(released);
    auto* const links = static_cast<volatile std::uintptr_t*>(address);
    links[0] = reinterpret_cast<std::uintptr_t>(other_chunk.data());
    links[1] = reinterpret_cast<std::uintptr_t>(other_chunk.data());
    std::free(neighbour);
    std::free(guard);
}

// NOLINTNEXTLINE(misc-no-recursion)
int overflow_stack(const volatile int* depth)
{
    const volatile int next = *depth + 1;
    return next < 0 ? 0 : overflow_stack(&next) + next;
}

} // namespace

BOOST_AUTO_TEST_CASE(segmentation_fault_prints_a_trace)
{
    check_trace(run_child([] { std::raise(SIGSEGV); }), SIGSEGV, "fault (SIGSEGV)");
}

BOOST_AUTO_TEST_CASE(corrupt_heap_prints_a_trace)
{
    const auto end = run_child(corrupt_heap);
    BOOST_TEST(end.errors.find("corrupted double-linked list") != std::string::npos, end.errors);
    check_trace(end, SIGABRT, "fault (SIGABRT)");
}

BOOST_AUTO_TEST_CASE(terminate_prints_a_trace)
{
    check_trace(run_child([] { std::terminate(); }), SIGABRT, "fault (SIGABRT)");
}

BOOST_AUTO_TEST_CASE(stack_overflow_prints_a_trace)
{
    const auto fail = [] {
        const volatile int depth = 0;
        overflow_stack(&depth);
    };
    check_trace(run_child(fail), SIGSEGV, "fault (SIGSEGV)");
}
