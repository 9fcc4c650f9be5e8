/// Command line of briarfold-load.
#pragma once

#include "apps/load/key_choice.hpp"
#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briarfold::load {

struct load_options
{
    std::vector<http::endpoint> targets;
    /// Calls backend servers without routers, each key always at the same target.
    bool is_direct = false;
    std::string service = "svc";
    std::vector<std::string> customers{"customer"};
    double rate = 100;
    double duration_s = 10;
    std::uint64_t max_requests = 10000000;
    key_settings keys;
    double idempotent_share = 0.5;
    core::duration deadline{2000};
    std::size_t body_bytes = 100;
    std::size_t connections = 256;
    std::size_t threads = 1;
    std::uint64_t seed = 1;
    std::string report;
    std::string history;
    bool is_quiet = false;
};

/// Empty when the help was shown. Throws core::error or boost::program_options::error.
std::optional<load_options> parse_options(int argc, const char* const* argv);

} // namespace briarfold::load
