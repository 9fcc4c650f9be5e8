#include "core/error.hpp"
#include "edge/internal/leader_service.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>

namespace briarfold::edge::internal {

namespace {

namespace asio = core::asio;
using core::clock;
using nlohmann::json;

/// A router that gets processor time at all answers within this time.
constexpr core::duration answer_timeout{450};
constexpr int max_tries = 2;

} // namespace

asio::awaitable<void> leader_service::ask_position(directory::router router,
                                                   std::shared_ptr<position_survey> survey)
{
    const json question = {
        {"kind", "directory position"}, {"term", term_}, {"leader", directory::to_json(self_)}};
    for (int i = 0; i < max_tries; ++i)
    {
        try
        {
            const auto text = co_await callbacks_.send(router.peer, question.dump(), answer_timeout);
            const auto reply = decode_message(text);
            // A restarted router does not know what its former process granted.
            if (reply.value("incarnation", "") == router.incarnation)
            {
                const auto term = reply.at("term").get<directory::generation>();
                survey->positions[router.name] = {term, reply.at("revision").get<std::int64_t>()};
            }
            break;
        }
        catch (const std::exception& failure)
        {
            log_.write("directory position unknown", {{"router", router.name}, {"reason", failure.what()}});
        }
    }
    --survey->running;
    if (survey->running == 0)
    {
        survey->done.cancel();
    }
}

asio::awaitable<directory::snapshot> leader_service::recover_directory(directory::snapshot known)
{
    const auto self = shared_from_this();
    const auto survey = std::make_shared<position_survey>(executor_);
    for (const auto& [name, router] : known.routers)
    {
        if (name == self_.name)
        {
            continue;
        }
        ++survey->running;
        asio::co_spawn(
            executor_, [self, router = router, survey] { return self->ask_position(router, survey); },
            asio::detached);
    }
    if (survey->running > 0)
    {
        boost::system::error_code ignored;
        survey->done.expires_after(std::chrono::milliseconds(answer_timeout.ms * (max_tries + 1)));
        co_await survey->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const auto latest =
        std::ranges::max_element(survey->positions, {}, [](const auto& item) { return item.second; });
    const bool is_behind =
        latest != survey->positions.end() && latest->second > directory_position{known.term, known.revision};
    if (is_behind)
    {
        try
        {
            const json question = {{"kind", "directory"}, {"term", term_}};
            const auto peer = known.routers.at(latest->first).peer;
            const auto text = co_await callbacks_.send(peer, question.dump(), answer_timeout);
            const auto change = directory::update_from_json(decode_message(text).at("directory"));
            directory::apply(known, change);
        }
        catch (const std::exception& failure)
        {
            // Nobody can tell what it knew, so it counts like a router that did not answer.
            log_.write("directory not fetched", {{"router", latest->first}, {"reason", failure.what()}});
            survey->positions.erase(latest);
        }
    }
    // Routers that only the fetched directory names were not asked.
    std::vector<directory::router> silent;
    for (const auto& [name, router] : known.routers)
    {
        if (name != self_.name && !survey->positions.contains(name))
        {
            silent.push_back(router);
        }
    }
    log_.write("directory recovered", {{"term", term_},
                                       {"known_term", known.term},
                                       {"revision", known.revision},
                                       {"routers", known.routers.size()},
                                       {"silent", silent.size()}});
    recovered_era_ = health_.era();
    state_->load_directory(known, silent, clock::now());
    co_return known;
}

} // namespace briarfold::edge::internal
