/// The base of all exceptions: what failed, at which step, with which peer.
#pragma once

#include <stdexcept>
#include <string>

namespace briarfold::core {

class error : public std::runtime_error
{
public:
    /// `step` names the operation ("table transaction"), `peer` the other side ("127.0.0.1:9000" or empty).
    error(std::string step, std::string peer, const std::string& what)
        : std::runtime_error(step + (peer.empty() ? "" : " [" + peer + "]") + ": " + what),
          step_(std::move(step)), peer_(std::move(peer))
    {}

    const std::string& step() const { return step_; }
    const std::string& peer() const { return peer_; }

private:
    std::string step_;
    std::string peer_;
};

/// No answer arrived within the time allowed.
class timeout_error : public error
{
public:
    using error::error;
};

/// The connection could not be opened, closed early, or carried invalid data.
class connection_error : public error
{
public:
    using error::error;
};

} // namespace briarfold::core
