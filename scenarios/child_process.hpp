/// A process started by a scenario. Its output goes to a file.
#pragma once

#include "core/clock.hpp"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace briarfold::scenarios {

/// Ends the process, by its id, at the latest when the object is destroyed. Not thread-safe.
class child_process
{
public:
    /// Throws core::error when the program cannot be started.
    child_process(std::string name, const std::filesystem::path& program,
                  const std::vector<std::string>& arguments, const std::filesystem::path& output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    const std::string& name() const { return name_; }
    bool is_running();
    /// SIGKILL; returns when the process has ended.
    void kill();
    /// SIGSTOP; returns when the process is seen stopped. Throws core::error when it is not.
    void pause();
    /// SIGCONT.
    void resume();
    /// SIGTERM; does not wait.
    void terminate();
    /// SIGHUP; does not wait.
    void hang_up();
    /// Most memory that the process has used so far, in bytes; 0 after its end.
    std::size_t peak_memory() const;
    /// Open descriptors of the process; 0 after its end.
    std::size_t open_descriptors() const;
    /// Returns whether the process ended within `limit`.
    bool wait(core::duration limit);
    /// Exit status; negative signal number when a signal ended it. Only after the end.
    int exit_status();

private:
    struct state;
    std::string name_;
    std::unique_ptr<state> state_;
};

} // namespace briarfold::scenarios
