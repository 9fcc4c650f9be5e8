#include "core/ids.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"
#include "standins/platform/platform_service.hpp"
#include "store/http_object_store.hpp"
#include "store/http_table_store.hpp"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace briarfold;
using namespace briarfold::core::literals;
namespace asio = core::asio;

namespace {

/// The platform stand-in and a client, each on a thread of its own.
struct fixture
{
    asio::io_context service_context;
    asio::io_context client_context;
    history::writer history{"", "test", history::flush_policy::buffered};
    standins::platform_service service{service_context.get_executor(), {}, history};
    http::server server{
        service_context.get_executor(), http::endpoint("127.0.0.1", 0),
        [this](http::request message, const http::endpoint&) { return service.answer(std::move(message)); }};
    http::endpoint address{"127.0.0.1", server.port()};
    store::http_table_store store{client_context.get_executor(), address};
    asio::executor_work_guard<asio::io_context::executor_type> client_guard =
        asio::make_work_guard(client_context);
    std::jthread service_thread{[this] { service_context.run(); }};
    std::jthread client_thread{[this] { client_context.run(); }};

    ~fixture()
    {
        service_context.stop();
        client_context.stop();
    }

    template <class Result>
    Result run(asio::awaitable<Result> work)
    {
        return asio::co_spawn(client_context, std::move(work), asio::use_future).get();
    }

    void set_faults(const std::string& body)
    {
        http::request message("POST", "/control/faults");
        message.body = body;
        run(http::fetch(address, std::move(message), 5000_ms));
    }
};

std::vector<store::row_write> one_write(std::int64_t version, int value)
{
    std::vector<store::row_write> writes;
    writes.emplace_back("contract/a b", version, nlohmann::json(value));
    return writes;
}

} // namespace

// Guards against a committed write that is reported as refused, or written twice, because its answer was
// lost.
BOOST_AUTO_TEST_CASE(lost_answer_of_a_commit_is_resolved)
{
    fixture f;
    f.set_faults(R"({"mode":"up","lose_answers":1})");
    const auto result = f.run(f.store.commit(core::make_id("op"), one_write(0, 7), 20000_ms));
    BOOST_TEST(result.is_committed);
    const auto row = f.run(f.store.read("contract/a b", 5000_ms));
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->version == 1);
    BOOST_TEST(row->revision == result.revision);
}

// Guards against a lost update when two writers start from the same version.
BOOST_AUTO_TEST_CASE(second_writer_is_refused_with_the_current_row)
{
    fixture f;
    BOOST_TEST(f.run(f.store.commit("first", one_write(0, 1), 5000_ms)).is_committed);
    const auto second = f.run(f.store.commit("second", one_write(0, 2), 5000_ms));
    BOOST_TEST(!second.is_committed);
    BOOST_REQUIRE(second.conflicts.size() == 1u);
    BOOST_TEST(second.conflicts.front().version == 1);
    const auto changes = f.run(f.store.changes(0, 0_ms));
    BOOST_TEST(changes.rows.size() == 1u);
}

// Guards against an outage that is taken for a refusal: the caller has to learn that the outcome is unknown.
BOOST_AUTO_TEST_CASE(outage_is_reported_as_store_error)
{
    fixture f;
    f.set_faults(R"({"mode":"down"})");
    BOOST_CHECK_THROW(f.run(f.store.commit("op", one_write(0, 1), 300_ms)), store::store_error);
    BOOST_CHECK_THROW(f.run(f.store.read("contract/a b", 300_ms)), store::store_error);
    f.set_faults(R"({"mode":"up"})");
    BOOST_TEST(!f.run(f.store.read("contract/a b", 5000_ms)).has_value());
}

BOOST_AUTO_TEST_CASE(objects_are_stored_and_read)
{
    fixture f;
    store::http_object_store objects(f.client_context.get_executor(), f.address);
    f.run(objects.put("history/line-1", "content", 5000_ms));
    BOOST_TEST(f.run(objects.get("history/line-1", 5000_ms)).value_or("") == "content");
    BOOST_TEST(!f.run(objects.get("history/none", 5000_ms)).has_value());
}
