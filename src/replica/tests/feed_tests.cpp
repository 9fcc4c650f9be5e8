#include "replica/feed.hpp"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace briarfold;
namespace asio = core::asio;

namespace {

/// Upstream with a fixed revision; times out when the revision is negative.
class fake_source : public replica::ifeed_source
{
public:
    fake_source(std::string name, std::int64_t revision) : name_(std::move(name)), revision_(revision) {}

    std::string name() const override { return name_; }
    asio::awaitable<replica::feed_answer> changes(std::int64_t, core::duration) override
    {
        ++call_count;
        return read_all();
    }
    asio::awaitable<replica::feed_answer> read_all() override
    {
        if (revision_ < 0)
        {
            throw core::timeout_error("changes", name_, "no answer");
        }
        replica::feed_answer answer;
        answer.batch.revision = revision_;
        answer.batch.rows.emplace_back("a", 1, revision_, "", nlohmann::json(name_));
        co_return answer;
    }

    std::atomic<int> call_count{0};

private:
    std::string name_;
    std::int64_t revision_;
};

std::shared_ptr<fake_source> make_source(const std::string& name, std::int64_t revision)
{
    return std::make_shared<fake_source>(name, revision);
}

} // namespace

// Guards against a router that starts without the store and keeps the rows of a peer that lags behind
// another.
BOOST_AUTO_TEST_CASE(load_keeps_the_highest_revision)
{
    replica::replica rows;
    replica::feed feed(rows, [] { return replica::feed_sources{}; });
    asio::io_context context;
    const replica::feed_sources sources{make_source("store", -1), make_source("lagging", 3),
                                        make_source("newest", 9), make_source("old", 5)};
    auto done = asio::co_spawn(context, feed.load(sources), asio::use_future);
    context.run();
    done.get();
    BOOST_TEST(rows.current()->revision == 9);
    BOOST_TEST(rows.current()->find("a")->value == "newest");
}

// Guards against a feed that keeps polling an upstream that fails or is behind this replica.
BOOST_AUTO_TEST_CASE(feed_falls_back_to_the_next_upstream)
{
    replica::replica rows;
    rows.apply_all({4, {}});
    const auto failed = make_source("failed", -1);
    const auto behind = make_source("behind", 2);
    const auto good = make_source("good", 8);
    replica::feed feed(rows, [&] { return replica::feed_sources{failed, behind, good}; });
    asio::io_context context;
    rows.on_change([&](const auto&, const auto&) { feed.stop(); });
    asio::co_spawn(context, feed.run(), asio::detached);
    context.run();
    BOOST_TEST(rows.current()->revision == 8);
    BOOST_TEST(failed->call_count == 1);
    BOOST_TEST(feed.failures() == 1u);
}
