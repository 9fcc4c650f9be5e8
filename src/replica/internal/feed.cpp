#include "replica/feed.hpp"

#include "core/pause.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::replica {

namespace asio = core::asio;

namespace {

/// Maximum wait of one `changes` exchange; the order of the sources is determined again after each round.
constexpr core::duration poll_wait{1000};
constexpr core::duration read_timeout{2000};
constexpr core::duration retry_delay{100};
/// Time for which a failed source is tried after the others, so that an unresponsive store delays only one
/// round.
constexpr core::duration demotion_period{5000};

} // namespace

asio::awaitable<feed_answer> store_source::changes(std::int64_t since, core::duration wait)
{
    feed_answer answer;
    answer.batch = co_await store_.changes(since, wait);
    co_return answer;
}

asio::awaitable<feed_answer> store_source::read_all()
{
    feed_answer answer;
    answer.batch = co_await store_.read_prefix("", read_timeout);
    co_return answer;
}

feed::feed(replica& target, source_order order) : target_(target), order_(std::move(order)) {}

asio::awaitable<void> feed::load(feed_sources sources)
{
    std::string last_error = "no source configured";
    bool is_loaded = false;
    for (const auto& source : sources)
    {
        const auto sent = core::clock::now();
        try
        {
            const auto answer = co_await source->read_all();
            target_.apply_all(answer.batch);
            target_.confirm(sent - answer.age);
            is_loaded = true;
        }
        catch (const core::error& failure)
        {
            last_error = failure.what();
        }
    }
    if (!is_loaded)
    {
        throw core::error("load rows", "", last_error);
    }
}

feed_sources feed::ordered_sources()
{
    auto sources = order_();
    const auto now = core::clock::now();
    std::ranges::stable_partition(sources, [&](const auto& source) {
        const auto failed = failed_at_.find(source->name());
        return failed == failed_at_.end() || now - failed->second > demotion_period;
    });
    return sources;
}

asio::awaitable<void> feed::run()
{
    while (!is_stopping_)
    {
        bool is_updated = false;
        for (const auto& source : ordered_sources())
        {
            is_updated = co_await poll_source(source);
            if (is_updated || is_stopping_)
            {
                break;
            }
        }
        if (!is_updated)
        {
            co_await core::pause_for(retry_delay);
        }
    }
}

asio::awaitable<bool> feed::poll_source(std::shared_ptr<ifeed_source> source)
{
    const auto held_revision = target_.current()->revision;
    const auto sent = core::clock::now();
    try
    {
        auto answer = co_await source->changes(held_revision, poll_wait);
        if (answer.batch.is_truncated)
        {
            answer = co_await source->read_all();
            target_.apply_all(answer.batch);
        }
        else
        {
            target_.apply(answer.batch);
        }
        // An upstream that is behind this replica cannot confirm that it is current.
        if (answer.batch.revision >= held_revision)
        {
            target_.confirm(sent - answer.age);
        }
        if (upstream_ != source->name())
        {
            upstream_ = source->name();
            spdlog::info("replica follows {} from revision {}", upstream_, held_revision);
        }
        co_return answer.batch.revision >= held_revision;
    }
    catch (const core::error&)
    {
        ++failures_;
        failed_at_[source->name()] = core::clock::now();
        co_return false;
    }
}

} // namespace briarfold::replica
