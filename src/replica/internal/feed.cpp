#include "replica/feed.hpp"

#include "core/pause.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace briarfold::replica {

namespace asio = core::asio;

namespace {

/// Longest wait of one `changes` exchange. The order of sources is looked up again after each.
constexpr core::duration poll_wait{1000};
constexpr core::duration read_timeout{2000};
constexpr core::duration retry_pause{100};
/// A source that failed is tried after the others for this long, so that a hanging store delays only one
/// round.
constexpr core::duration failure_pause{5000};

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
    std::string reason = "no source configured";
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
            reason = failure.what();
        }
    }
    if (!is_loaded)
    {
        throw core::error("load rows", "", reason);
    }
}

feed_sources feed::ordered_sources()
{
    auto sources = order_();
    const auto now = core::clock::now();
    std::ranges::stable_partition(sources, [&](const auto& source) {
        const auto failed = failed_at_.find(source->name());
        return failed == failed_at_.end() || now - failed->second > failure_pause;
    });
    return sources;
}

asio::awaitable<void> feed::run()
{
    while (!is_stopping_)
    {
        bool is_fed = false;
        for (const auto& source : ordered_sources())
        {
            is_fed = co_await follow(source);
            if (is_fed || is_stopping_)
            {
                break;
            }
        }
        if (!is_fed)
        {
            co_await core::pause_for(retry_pause);
        }
    }
}

asio::awaitable<bool> feed::follow(std::shared_ptr<ifeed_source> source)
{
    const auto held = target_.current()->revision;
    const auto sent = core::clock::now();
    try
    {
        auto answer = co_await source->changes(held, poll_wait);
        if (answer.batch.is_truncated)
        {
            answer = co_await source->read_all();
            target_.apply_all(answer.batch);
        }
        else
        {
            target_.apply(answer.batch);
        }
        // An upstream that is behind this replica cannot confirm it.
        if (answer.batch.revision >= held)
        {
            target_.confirm(sent - answer.age);
        }
        if (upstream_ != source->name())
        {
            upstream_ = source->name();
            spdlog::info("replica follows {} from revision {}", upstream_, held);
        }
        co_return answer.batch.revision >= held;
    }
    catch (const core::error&)
    {
        ++failures_;
        failed_at_[source->name()] = core::clock::now();
        co_return false;
    }
}

} // namespace briarfold::replica
