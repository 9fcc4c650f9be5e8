/// Command line of briarfoldctl.
#pragma once

#include "core/clock.hpp"
#include "core/error.hpp"
#include "http/http_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::ctl {

/// The command line is wrong; `what` says how.
class usage_error : public core::error
{
public:
    explicit usage_error(const std::string& what) : core::error("command line", "", what) {}
};

/// A parsed command line. `command` is, for instance, "contract apply"; `arguments` follow it.
struct invocation
{
    std::vector<http::endpoint> routers;
    std::string token;
    bool is_json = false;
    core::duration timeout{10000};
    std::string command;
    std::vector<std::string> arguments;

    std::string file;
    std::string author;
    std::string operation_id;
    std::string service;
    std::optional<std::int64_t> expected_version;
    std::optional<std::int64_t> from;
    std::optional<std::int64_t> to;
    std::optional<std::int64_t> version;
    /// Wait until the change is in force on all routers; 0 does not wait.
    core::duration wait;
    bool is_document_only = false;
    bool is_confirmed = false;
    /// Text to print instead of running a command.
    std::string help;
};

/// `environment` holds BRIARFOLD_ROUTERS, BRIARFOLD_ADMIN_TOKEN and USER as far as they are set. Throws
/// usage_error.
invocation parse_command_line(const std::vector<std::string>& words,
                              const std::map<std::string, std::string>& environment);

} // namespace briarfold::ctl
