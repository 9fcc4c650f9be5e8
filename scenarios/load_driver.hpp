/// Sends keyed requests through any router, as callers behind a load balancer do, and writes the history of
/// calls and outcomes.
#pragma once

#include "core/clock.hpp"
#include "history/writer.hpp"
#include "scenarios/deployment.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace briarfold::scenarios {

struct load_counts
{
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    /// Answers without a valid X-Briarfold-Outcome; also counted as unknown.
    std::int64_t malformed = 0;

    bool operator==(const load_counts&) const = default;
};

/// Thread-safe; the load runs on a thread of its own.
class load_driver
{
public:
    load_driver(deployment& system, history::writer& history, std::uint64_t seed);
    ~load_driver();

    void start();
    /// Sends no more, and returns when every request has its outcome.
    void stop();
    load_counts counts() const;
    /// How often each refusal or failure was seen, by reason.
    std::map<std::string, std::int64_t> reasons() const;
    /// The backend server that answered last for a key, by "<service>/<key>".
    std::map<std::string, std::string> owners() const;
    /// Number of keys of the load.
    std::size_t key_count() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briarfold::scenarios
