#include "scenarios/child_process.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"
#include "scenarios/waiting.hpp"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <csignal>
#include <fstream>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace briarfold::scenarios {

namespace {

namespace process = boost::process;

constexpr core::duration signal_limit{5000};
constexpr unsigned first_own_descriptor = 3;
constexpr unsigned last_descriptor = ~0U;

void send(int id, int signal, const std::string& name)
{
    if (::kill(id, signal) != 0)
    {
        throw core::error("signal " + std::to_string(signal), name, "process has ended");
    }
}

/// State letter of the process in /proc, or '-' when it is gone.
char process_state(int id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string line;
    std::getline(file, line);
    // The name in parentheses may hold spaces; the state follows it.
    const auto end = line.rfind(')');
    return end == std::string::npos || end + 2 >= line.size() ? '-' : line[end + 2];
}

} // namespace

struct child_process::state
{
    process::child child;
};

child_process::child_process(std::string name, const std::filesystem::path& program,
                             const std::vector<std::string>& arguments, const std::filesystem::path& output)
    : name_(std::move(name)), state_(std::make_unique<state>())
{
    try
    {
        // A scenario that ends without destructors must leave no process behind.
        const auto prepare = process::extend::on_exec_setup([](auto&) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            // An inherited socket would stay open after its owner closed it.
            ::close_range(first_own_descriptor, last_descriptor, CLOSE_RANGE_CLOEXEC);
        });
        state_->child = process::child(
            process::exe = program.string(), process::args = arguments, prepare,
            process::std_in<process::null, (process::std_out & process::std_err)> output.string());
    }
    catch (const process::process_error& failure)
    {
        throw core::error("start " + program.string(), name_, failure.what());
    }
}

child_process::~child_process()
{
    std::error_code ignored;
    if (state_->child.running(ignored))
    {
        state_->child.terminate(ignored);
    }
}

bool child_process::is_running()
{
    std::error_code ignored;
    return state_->child.running(ignored);
}

void child_process::kill()
{
    send(state_->child.id(), SIGKILL, name_);
    state_->child.wait();
}

void child_process::pause()
{
    send(state_->child.id(), SIGSTOP, name_);
    wait_until(name_ + " is stopped", signal_limit,
               [this] { return process_state(state_->child.id()) == 'T'; });
}

void child_process::resume()
{
    send(state_->child.id(), SIGCONT, name_);
}

void child_process::terminate()
{
    send(state_->child.id(), SIGTERM, name_);
}

void child_process::hang_up()
{
    send(state_->child.id(), SIGHUP, name_);
}

std::size_t child_process::peak_memory() const
{
    constexpr std::size_t bytes_per_kb = 1024;
    std::ifstream file("/proc/" + std::to_string(state_->child.id()) + "/status");
    std::string field;
    while (file >> field)
    {
        std::size_t kilobytes = 0;
        if (field == "VmHWM:" && file >> kilobytes)
        {
            return kilobytes * bytes_per_kb;
        }
    }
    return 0;
}

std::size_t child_process::open_descriptors() const
{
    std::error_code absent;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(state_->child.id()) + "/fd",
                                                    absent);
    return absent ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

bool child_process::wait(core::duration limit)
{
    const auto end = core::clock::now() + limit;
    while (is_running())
    {
        if (core::clock::now() >= end)
        {
            return false;
        }
        sleep_for(poll_interval);
    }
    return true;
}

int child_process::exit_status()
{
    const int status = state_->child.native_exit_code();
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace briarfold::scenarios
