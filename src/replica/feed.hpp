/// Keeps a replica current from the first upstream that answers.
#pragma once

#include "core/asio.hpp"
#include "replica/replica.hpp"
#include "store/itable_store.hpp"

#include <atomic>
#include <functional>
#include <memory>

namespace briarfold::replica {

/// Rows from an upstream. `age` is the time since the upstream itself was known to be current.
struct feed_answer
{
    store::row_batch batch;
    core::duration age{0};
};

class ifeed_source
{
public:
    virtual ~ifeed_source() = default;

    /// For log lines: "store" or the instance id of a peer.
    virtual std::string name() const = 0;
    /// Rows changed after `since`; waits up to `wait` for the first. Throws core::error.
    virtual core::asio::awaitable<feed_answer> changes(std::int64_t since, core::duration wait) = 0;
    /// All rows. Throws core::error.
    virtual core::asio::awaitable<feed_answer> read_all() = 0;
};

/// The table service as an upstream.
class store_source : public ifeed_source
{
public:
    explicit store_source(store::itable_store& store) : store_(store) {}

    std::string name() const override { return "store"; }
    core::asio::awaitable<feed_answer> changes(std::int64_t since, core::duration wait) override;
    core::asio::awaitable<feed_answer> read_all() override;

private:
    store::itable_store& store_;
};

using feed_sources = std::vector<std::shared_ptr<ifeed_source>>;

/// Upstreams in order of preference; asked before each exchange. See membership/relay.hpp for the order.
using source_order = std::function<feed_sources()>;

class feed
{
public:
    /// The replica outlives the feed.
    feed(replica& target, source_order order);

    /// Reads all rows of every source at once and keeps the highest revision, so that a router starts without
    /// the store. Throws core::error when no source answered.
    core::asio::awaitable<void> load(feed_sources sources);
    /// Follows the sources until `stop`. Never throws.
    core::asio::awaitable<void> run();
    void stop() { is_stopping_ = true; }
    /// Exchanges that failed since the start.
    std::uint64_t failures() const { return failures_; }

private:
    feed_sources ordered_sources();
    core::asio::awaitable<bool> follow(std::shared_ptr<ifeed_source> source);

    replica& target_;
    source_order order_;
    std::string upstream_;
    /// Sources that failed, by name, and when; they come last for a while.
    std::map<std::string, core::time_point> failed_at_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::uint64_t> failures_{0};
};

} // namespace briarfold::replica
