#include "core/error.hpp"
#include "core/key_hash.hpp"
#include "core/pause.hpp"
#include "edge/internal/member_state.hpp"
#include "edge/internal/peer_message.hpp"

#include <algorithm>

namespace briarfold::edge {

namespace {

/// Routers of each availability zone that read the store for the others of their zone.
constexpr std::size_t readers_per_zone = 2;
/// Timeout of a question to another router. It may read the store for the answer.
constexpr core::duration question_timeout{150};
/// Maximum time that a router takes for such a read, and age up to which it answers without one.
constexpr core::duration max_answer_wait{120};
constexpr core::duration max_answer_age{600};
constexpr core::duration read_timeout{400};
/// Maximum wait of a request without a route for the check of the configuration.
constexpr core::duration max_request_wait{450};
constexpr core::duration min_check_pause{20};
/// Pause of a router that has no configuration yet; it gets one with its first directory.
constexpr core::duration start_pause{200};
/// Span over which the questions of a zone to its readers are spread.
constexpr std::uint64_t question_spread_ms = 100;

} // namespace

void member::state::adopt_packed_config(std::string packed, const std::string& source)
{
    json document;
    try
    {
        document = internal::unpack(packed);
    }
    catch (const std::exception& failure)
    {
        log.write("configuration refused", {{"reason", failure.what()}, {"from", source}});
        return;
    }
    adopt_config(document, std::move(packed), source);
}

void member::state::adopt_config(const json& document, std::string packed, const std::string& source)
{
    if (leadership && leadership->is_started())
    {
        leadership->offer_config(document);
        return;
    }
    try
    {
        auto parsed = adapter.read_config(document);
        const auto version = parsed.version;
        if (callbacks.on_config(std::move(parsed)))
        {
            packed_config = packed.empty() ? internal::pack(document) : std::move(packed);
            config_version = version;
            log.write("configuration in force", {{"version", version}, {"from", source}});
        }
    }
    catch (const std::exception& failure)
    {
        log.write("configuration refused", {{"reason", failure.what()}, {"from", source}});
    }
}

void member::state::confirm_config(const json& reply, core::time_point asked)
{
    // A newer version that the answer tells of is still on its way.
    if (!reply.contains("config_age") || reply.at("config_version").get<std::int64_t>() > config_version)
    {
        return;
    }
    on_config_confirmed(asked - core::duration{reply.at("config_age").get<std::int64_t>()});
    config_position = std::max(config_position, internal::position_from_json(reply.at("config_position")));
}

void member::state::on_config_confirmed(core::time_point at)
{
    currency.on_confirmed(at);
    // Rows that are found from now on are new.
    evacuations.apply_changes({});
    if (leadership)
    {
        leadership->on_config_confirmed(at);
    }
}

void member::state::on_evacuations_changed()
{
    if (is_ended)
    {
        return;
    }
    callbacks.on_evacuations();
    if (leadership)
    {
        leadership->on_evacuations_changed();
    }
}

core::duration member::state::config_age()
{
    if (leadership)
    {
        currency.on_confirmed(leadership->config_confirmed_at());
    }
    return currency.age(clock::now());
}

asio::awaitable<void> member::state::watch_config()
{
    const auto self_reference = shared_from_this();
    const core::duration spread{
        static_cast<std::int64_t>(core::text_hash(settings.name) % question_spread_ms)};
    while (!is_ended)
    {
        config_age();
        const auto wait = currency.next_check() + spread - clock::now();
        if (wait.ms > 0 || config_version == 0)
        {
            co_await core::pause_for(std::max(wait, config_version == 0 ? start_pause : min_check_pause));
            continue;
        }
        co_await await_config_check(question_timeout * readers_per_zone + read_timeout);
        co_await core::pause_for(min_check_pause);
    }
}

asio::awaitable<bool> member::state::await_current_config()
{
    const auto self_reference = shared_from_this();
    config_age();
    const auto now = clock::now();
    if (!currency.is_current(now) && currency.may_check(now) && !is_ended)
    {
        co_await await_config_check(max_request_wait);
    }
    co_return currency.is_current(clock::now());
}

asio::awaitable<void> member::state::await_config_check(core::duration limit)
{
    const auto self_reference = shared_from_this();
    if (!is_checking_config)
    {
        is_checking_config = true;
        asio::co_spawn(
            executor, [self_reference] { return self_reference->check_config(); }, asio::detached);
    }
    asio::steady_timer timer(executor, std::chrono::milliseconds(limit.ms));
    const auto position = config_waits.insert(config_waits.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    config_waits.erase(position);
}

asio::awaitable<void> member::state::check_config()
{
    const auto self_reference = shared_from_this();
    const auto start = clock::now();
    const auto former_age = config_age();
    std::string source;
    try
    {
        source = co_await find_current_config();
    }
    catch (const std::exception& failure)
    {
        log.write("check of the configuration failed", {{"reason", failure.what()}});
    }
    if (source.empty())
    {
        currency.on_check_failed(clock::now());
    }
    log.write("configuration checked", {{"version", config_version},
                                        {"by", source},
                                        {"former_age_ms", former_age.ms},
                                        {"age_ms", currency.age(clock::now()).ms},
                                        {"elapsed_ms", (clock::now() - start).ms}});
    is_checking_config = false;
    std::ranges::for_each(config_waits, [](asio::steady_timer* timer) { timer->cancel(); });
}

asio::awaitable<std::string> member::state::find_current_config()
{
    const auto self_reference = shared_from_this();
    const auto readers = choose_config_readers();
    // Readers ask nobody, so that none waits for another that waits for it.
    const bool is_reader =
        std::ranges::find(readers, settings.name, &directory::router::name) != readers.end();
    bool does_store_fail = !is_reader && !readers.empty();
    for (const auto& reader : readers)
    {
        const auto answer = is_reader ? config_answer::none : co_await ask_for_config(reader);
        does_store_fail = does_store_fail && answer == config_answer::store_fails;
        if (answer == config_answer::current)
        {
            co_return reader.name;
        }
    }
    // While the store fails for all readers, only a long outage is worth the calls of all others.
    const bool is_read_due = !does_store_fail || currency.is_long_unconfirmed(clock::now());
    const bool is_read = is_read_due && co_await read_config_changes();
    co_return is_read ? "store" : "";
}

std::vector<directory::router> member::state::choose_config_readers() const
{
    std::vector<directory::router> readers;
    for (const auto& [name, router] : snapshot.routers)
    {
        // The leader is asked with each report anyway.
        if (router.zone == settings.zone && !router.is_stopping && name != leader.name)
        {
            readers.push_back(router);
        }
    }
    const auto has_more_cpu = [](const auto& a, const auto& b) { return a.cpu > b.cpu; };
    std::ranges::stable_sort(readers, has_more_cpu);
    readers.resize(std::min(readers.size(), readers_per_zone));
    return readers;
}

asio::awaitable<member::state::config_answer> member::state::ask_for_config(directory::router reader)
{
    const auto self_reference = shared_from_this();
    const auto link = network;
    if (!link)
    {
        co_return config_answer::none;
    }
    bool does_store_fail = false;
    try
    {
        json question = {{"kind", "configuration"}, {"version", config_version}};
        evacuations.add_to(question);
        const auto asked = clock::now();
        const auto reply = internal::decode_message(
            co_await link->send_message(reader.peer, question.dump(), question_timeout));
        if (reply.value("kind", "") != "configuration" || is_ended)
        {
            co_return config_answer::none;
        }
        evacuations.apply_message(reply, reader.name);
        if (reply.contains("config"))
        {
            adopt_packed_config(reply.at("config").get<std::string>(), reader.name);
        }
        confirm_config(reply, asked);
        does_store_fail = reply.value("store_fails", false);
    }
    catch (const std::exception& failure)
    {
        log.write("configuration not told", {{"router", reader.name}, {"reason", failure.what()}});
        co_return config_answer::none;
    }
    if (currency.next_check() > clock::now())
    {
        co_return config_answer::current;
    }
    co_return does_store_fail ? config_answer::store_fails : config_answer::outdated;
}

asio::awaitable<bool> member::state::read_config_changes()
{
    const auto self_reference = shared_from_this();
    try
    {
        const auto asked = clock::now();
        store::row_batch batch;
        std::optional<store::row_batch> all_evacuations;
        batch.is_truncated = true;
        if (config_position.number > 0)
        {
            batch = co_await tables.config->changes(config_position.number, {});
        }
        // In another era, changes below the position may be new.
        if (batch.is_truncated || batch.era != config_position.era)
        {
            batch = co_await tables.config->read_prefix(tables.config_key, read_timeout);
            all_evacuations = co_await tables.config->read_prefix(evacuations.key_prefix(), read_timeout);
        }
        if (is_ended)
        {
            co_return false;
        }
        internal::note_store_answer(health, log, batch.era);
        for (const auto& row : batch.rows)
        {
            if (row.key == tables.config_key && !row.value.is_null())
            {
                adopt_config(row.value, "", "store");
            }
        }
        if (all_evacuations)
        {
            evacuations.apply_all(*all_evacuations);
        }
        else
        {
            evacuations.apply_changes(batch);
        }
        config_position = std::max(config_position, batch.position());
        on_config_confirmed(asked);
        co_return true;
    }
    catch (const std::exception& failure)
    {
        internal::note_store_failure(health, log, "check of the configuration", failure);
        co_return false;
    }
}

asio::awaitable<std::string> member::state::answer_config_question(json question)
{
    const auto self_reference = shared_from_this();
    if (config_age() > max_answer_age && currency.may_check(clock::now()))
    {
        co_await await_config_check(max_answer_wait);
    }
    json reply = {{"kind", "configuration"},
                  {"config_version", config_version},
                  {"config_age", config_age().ms},
                  {"store_fails", health.is_failing()},
                  {"config_position", internal::position_to_json(config_position)}};
    if (question.at("version").get<std::int64_t>() < config_version)
    {
        reply["config"] = packed_config;
    }
    evacuations.add_to(reply);
    co_return internal::encode_message(reply.dump());
}

} // namespace briarfold::edge
