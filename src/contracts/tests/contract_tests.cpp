#include "contracts/contract.hpp"
#include "contracts/contract_registry.hpp"
#include "contracts/tests/memory_replica.hpp"
#include "document/document_types.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace briarfold;
using contracts::tests::memory_replica;

namespace {

nlohmann::json make_document(double rate)
{
    return {{"customer", "reception"}, {"services", {"accueil"}}, {"requests_per_s", rate}, {"burst", 10},
            {"concurrency", 4},        {"slot_share", 0.5}};
}

store::row make_row(std::int64_t version, nlohmann::json document)
{
    return {"contract/reception",
            version,
            version * 10,
            "op-" + std::to_string(version),
            {{"document", std::move(document)}, {"author", "ada"}, {"time_ms", 5}}};
}

store::row_batch batch_of(store::row row)
{
    return {row.revision, {std::move(row)}, false};
}

struct registry_fixture
{
    memory_replica replica;
    core::time_point now{100000};
    contracts::contract_registry registry{replica, [this] { return now; }};
    std::vector<std::int64_t> applied;

    registry_fixture()
    {
        registry.on_applied([this](const auto& version) { applied.push_back(version->info.version); });
    }
};

} // namespace

// Guards against validation that reports only the first error of a document.
BOOST_AUTO_TEST_CASE(contract_errors_name_field_value_and_range)
{
    auto document = make_document(-1);
    document["default_deadline_ms"] = 20;
    document["max_deadline_ms"] = 10;
    document["colour"] = "red";
    document.erase("burst");
    try
    {
        contracts::contract::parse(document, "test");
        BOOST_ERROR("the document was accepted");
    }
    catch (const document::invalid_document& failure)
    {
        BOOST_TEST(failure.errors().size() == 4U);
        const std::string text = failure.what();
        for (const std::string part :
             {"requests_per_s = -1.0: allowed is a number from 0.1", "burst = absent", "colour",
              "default_deadline_ms = 20: allowed is an integer from 1 to max_deadline_ms, which is 10"})
        {
            BOOST_TEST(text.find(part) != std::string::npos, part << " in " << text);
        }
    }
}

// Guards against example contracts that fail validation or change in a JSON round trip.
BOOST_AUTO_TEST_CASE(example_contracts_are_accepted)
{
    int count = 0;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(EXAMPLES_FOLDER))
    {
        if (entry.path().parent_path().filename() == "contracts")
        {
            std::ifstream file(entry.path());
            const auto value = contracts::contract::parse(nlohmann::json::parse(file), entry.path());
            BOOST_TEST((contracts::contract::parse(contracts::to_json(value), entry.path()) == value));
            ++count;
        }
    }
    BOOST_TEST(count == 5);
}

BOOST_AUTO_TEST_CASE(diff_lists_changed_fields_only)
{
    const auto changes = contracts::diff(make_document(1), make_document(2));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes.front().field == "requests_per_s");
    BOOST_TEST(changes.front().after == 2.0);
}

// Guards against a late or repeated row that reverts a router to an older contract (G8).
BOOST_FIXTURE_TEST_CASE(older_versions_are_never_applied, registry_fixture)
{
    replica.apply(batch_of(make_row(2, make_document(200))));
    replica.apply(batch_of(make_row(1, make_document(100))));
    replica.apply(batch_of(make_row(2, make_document(200))));
    replica.apply(batch_of(make_row(3, make_document(300))));
    BOOST_TEST(registry.find("reception").contract->contract.requests_per_s() == 300);
    BOOST_TEST(applied == (std::vector<std::int64_t>{2, 3}), boost::test_tools::per_element());
}

// Guards against a contract that disappears because a newer router wrote a field that this router does not
// know.
BOOST_FIXTURE_TEST_CASE(unreadable_version_keeps_previous_version_in_force, registry_fixture)
{
    replica.apply(batch_of(make_row(1, make_document(100))));
    auto unknown = make_document(50);
    unknown["new_field"] = 1;
    replica.apply(batch_of(make_row(2, unknown)));
    BOOST_TEST(registry.find("reception").contract->info.version == 1);
    BOOST_TEST(registry.current()->rejected.at("reception").version == 2);
    replica.apply(batch_of(make_row(3, make_document(300))));
    BOOST_TEST(registry.current()->rejected.empty());
}

// Guards against a router with an unconfirmed copy that rejects unknown customers permanently (403) or drops
// the contracts it has.
BOOST_FIXTURE_TEST_CASE(unconfirmed_router_serves_known_customers_only, registry_fixture)
{
    replica.confirmed = now;
    BOOST_TEST(!registry.find("reception").is_certain, "nothing was loaded yet");
    replica.apply(batch_of(make_row(1, make_document(100))));
    BOOST_TEST(registry.find("nobody").is_certain);
    now = now + contracts::confirmation_bound;
    BOOST_TEST(!registry.find("nobody").is_certain);
    BOOST_TEST((registry.find("reception").contract != nullptr));
    BOOST_TEST(registry.unconfirmed_for().ms == contracts::confirmation_bound.ms);
}
