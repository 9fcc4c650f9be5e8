/// Updates a replica from the first upstream that answers and is not behind it.
#pragma once

#include "core/asio.hpp"
#include "replica/replica.hpp"
#include "store/itable_store.hpp"

#include <atomic>
#include <functional>
#include <memory>

namespace briarfold::replica {

/// Rows from an upstream. `age` is the time since the upstream was last known to be current.
struct feed_answer
{
    store::row_batch batch;
    core::duration age{0};
};

class ifeed_source
{
public:
    virtual ~ifeed_source() = default;

    /// Returns "store" or the instance id of a peer; used in log lines and to track failed sources.
    virtual std::string name() const = 0;
    /// Returns the rows changed after revision `since`; waits up to `wait` for the first change. Throws
    /// core::error.
    virtual core::asio::awaitable<feed_answer> changes(std::int64_t since, core::duration wait) = 0;
    /// Returns all rows. Throws core::error.
    virtual core::asio::awaitable<feed_answer> read_all() = 0;
};

/// Upstream that reads from the table service.
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

/// Returns the upstreams in order of preference; called before each round. See membership/relay.hpp for the
/// order.
using source_order = std::function<feed_sources()>;

class feed
{
public:
    /// The replica must outlive the feed.
    feed(replica& target, source_order order);

    /// Reads all rows from each source in turn and keeps those of the highest revision, so that a router can
    /// start without the store. Throws core::error when no source answers.
    core::asio::awaitable<void> load(feed_sources sources);
    /// Follows the sources until `stop`. Never throws.
    core::asio::awaitable<void> run();
    void stop() { is_stopping_ = true; }
    /// Returns the number of exchanges that failed since the start.
    std::uint64_t failures() const { return failures_; }

private:
    feed_sources ordered_sources();
    core::asio::awaitable<bool> poll_source(std::shared_ptr<ifeed_source> source);

    replica& target_;
    source_order order_;
    std::string upstream_;
    /// Time of the last failure of each source, by name. Sources that failed recently are tried last.
    std::map<std::string, core::time_point> failed_at_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::uint64_t> failures_{0};
};

} // namespace briarfold::replica
