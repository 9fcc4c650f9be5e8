#include "contracts/contract_store.hpp"
#include "contracts/tests/memory_store.hpp"
#include "document/document_types.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold;
using namespace briarfold::core::literals;
using contracts::edit_status;

namespace {

struct store_fixture
{
    contracts::tests::memory_table table;
    contracts::tests::memory_objects objects;
    contracts::contract_store store{table, objects};

    template <class Result>
    Result run(core::asio::awaitable<Result> work)
    {
        core::asio::io_context context;
        auto result = core::asio::co_spawn(context, std::move(work), core::asio::use_future);
        context.run();
        return result.get();
    }

    static contracts::edit make_edit(std::int64_t expected, const std::string& author,
                                     const std::string& operation)
    {
        return {{{"customer", "reception"},
                 {"services", {"accueil"}},
                 {"requests_per_s", expected + 100},
                 {"burst", 10},
                 {"concurrency", 4},
                 {"slot_share", 0.5}},
                author,
                expected,
                operation};
    }

    contracts::edit_result apply(std::int64_t expected, const std::string& author,
                                 const std::string& operation, core::duration timeout = 10000_ms)
    {
        return run(store.apply(make_edit(expected, author, operation), timeout));
    }
};

} // namespace

// Guards against concurrent edits that overwrite each other, and against a conflict that does not name the
// committed edit.
BOOST_FIXTURE_TEST_CASE(concurrent_edit_reports_conflict, store_fixture)
{
    apply(0, "ada", "op-1");
    table.before_commit = [this] { apply(1, "ben", "op-ben"); };
    const auto conflict = apply(1, "cleo", "op-cleo");
    BOOST_TEST((conflict.status == edit_status::conflict));
    BOOST_TEST(conflict.info.version == 2);
    BOOST_TEST(conflict.info.author == "ben");
    BOOST_TEST(conflict.info.time_ms > 0);
    BOOST_TEST(conflict.info.operation_id == "op-ben");
}

// Guards against a committed edit that is reported as failed because its answer was lost.
BOOST_FIXTURE_TEST_CASE(lost_answer_is_resolved_by_reading_back, store_fixture)
{
    table.lost_answers = 1;
    const auto result = apply(0, "ada", "op-1");
    BOOST_TEST((result.status == edit_status::applied));
    BOOST_TEST(result.info.version == 1);
    BOOST_TEST(table.all("contract/").rows.size() == 1U);
}

// Guards against a retry that is reported as a conflict although its first attempt committed and was replaced
// since.
BOOST_FIXTURE_TEST_CASE(retry_after_replacement_reports_first_result, store_fixture)
{
    const auto first = apply(0, "ada", "op-1");
    apply(1, "ben", "op-2");
    const auto retry = apply(0, "ada", "op-1");
    BOOST_TEST((retry.status == edit_status::applied));
    BOOST_TEST(retry.revision == first.revision);
    BOOST_TEST(retry.info.time_ms == first.info.time_ms);
}

// Guards against a second version when a retry expects the version that its first attempt created.
BOOST_FIXTURE_TEST_CASE(retry_on_own_version_creates_no_new_version, store_fixture)
{
    apply(0, "ada", "op-1");
    auto retry = make_edit(0, "ada", "op-1");
    retry.expected_version = 1;
    BOOST_TEST(run(store.apply(retry, 1000_ms)).info.version == 1);
    BOOST_TEST(table.all("contract/").rows.front().version == 1);
}

// Guards against an operation id that makes another document look applied.
BOOST_FIXTURE_TEST_CASE(reused_operation_id_is_refused, store_fixture)
{
    apply(0, "ada", "op-1");
    auto other = make_edit(0, "ada", "op-1");
    other.document["burst"] = 11;
    BOOST_CHECK_THROW(run(store.apply(other, 1000_ms)), core::error);
}

BOOST_FIXTURE_TEST_CASE(store_outage_is_reported_as_unknown, store_fixture)
{
    table.is_down = true;
    BOOST_TEST((apply(0, "ada", "op-1", 150_ms).status == edit_status::unknown));
}

BOOST_FIXTURE_TEST_CASE(bad_document_writes_nothing, store_fixture)
{
    auto bad = make_edit(0, "ada", "op-1");
    bad.document["burst"] = 0;
    BOOST_CHECK_THROW(run(store.apply(bad, 1000_ms)), document::invalid_document);
    BOOST_TEST(table.all("").rows.empty());
}

// Guards against versions that are lost when the log is trimmed, and against a log that grows without bound.
BOOST_FIXTURE_TEST_CASE(trim_keeps_the_whole_history, store_fixture)
{
    constexpr std::int64_t edits = 25;
    for (std::int64_t i = 0; i < edits; ++i)
    {
        apply(i, "ada", "op-" + std::to_string(i));
        run(store.trim("reception", 1000_ms));
        BOOST_TEST(table.all("contract-log/").rows.size() <= contracts::max_log_rows);
    }
    const auto history = run(store.history("reception", 1000_ms));
    BOOST_TEST(history.is_complete);
    BOOST_REQUIRE(history.entries.size() == edits);
    BOOST_TEST(history.entries.front().document.at("requests_per_s") == 100);
    BOOST_TEST(history.entries.back().info.version == edits);
}

// Guards against an object store outage that removes log rows without a copy.
BOOST_FIXTURE_TEST_CASE(trim_without_object_store_keeps_the_log, store_fixture)
{
    objects.is_down = true;
    for (std::int64_t i = 0; i <= static_cast<std::int64_t>(contracts::max_log_rows); ++i)
    {
        apply(i, "ada", "op-" + std::to_string(i));
    }
    BOOST_CHECK_THROW(run(store.trim("reception", 1000_ms)), store::store_error);
    BOOST_TEST(table.all("contract-log/").rows.size() == contracts::max_log_rows + 1);
}
