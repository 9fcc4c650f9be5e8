/// An admin API over stores in memory, for tests.
#pragma once

#include "admin/admin_api.hpp"
#include "contracts/contract_registry.hpp"
#include "contracts/tests/memory_replica.hpp"
#include "contracts/tests/memory_store.hpp"

#include <optional>

namespace briarfold::admin::tests {

constexpr const char* token = "admin-token-0123456789";

/// All backend servers of the table; the first one of a service owns every key of it.
class table_map : public ownership::iownership_map
{
public:
    explicit table_map(const store::row_batch& batch) : revision_(batch.revision)
    {
        for (const auto& row : batch.rows)
        {
            servers_.push_back(std::make_shared<const ownership::backend_server>(
                ownership::parse_backend_server(row.value)));
        }
    }

    std::int64_t revision() const override { return revision_; }
    std::shared_ptr<const ownership::backend_server> owner(const std::string& service,
                                                           std::uint64_t) const override
    {
        return first([&service](const auto& server) { return server->service == service; });
    }
    bool has_service(const std::string& service) const override { return owner(service, 0) != nullptr; }
    std::shared_ptr<const ownership::backend_server> find(const std::string& id) const override
    {
        return first([&id](const auto& server) { return server->id == id; });
    }
    std::vector<std::shared_ptr<const ownership::backend_server>> all() const override { return servers_; }

private:
    std::shared_ptr<const ownership::backend_server> first(const auto& matches) const
    {
        const auto found = std::ranges::find_if(servers_, matches);
        return found == servers_.end() ? nullptr : *found;
    }

    std::int64_t revision_;
    std::vector<std::shared_ptr<const ownership::backend_server>> servers_;
};

struct fake_router
{
    contracts::tests::memory_table table;
    contracts::tests::memory_objects objects;
    contracts::tests::memory_replica replica;
    contracts::contract_registry contracts{replica};
    contracts::contract_store contract_store{table, objects};
    backend_server_admin backend_servers{table};
    metrics::registry metrics;
    std::vector<router_report> reports;
    std::vector<std::string> not_ready;
    std::vector<trace::span> spans;
    admin_api api{make_inputs()};

    fake_router()
    {
        table.commit_now("init", {{"service/accueil", 0, {{"name", "accueil"}}}});
        feed();
    }

    /// Brings the replica up to the table.
    void feed()
    {
        replica.confirmed = core::clock::now();
        replica.apply(table.all(""));
    }

    http::response send(const std::string& method, const std::string& target,
                        const nlohmann::json& body = nullptr, const std::string& bearer = token)
    {
        http::request message(method, target);
        message.headers.emplace_back("Authorization", "Bearer " + bearer);
        message.body = body.is_null() ? "" : body.dump();
        core::asio::io_context context;
        auto result = core::asio::co_spawn(context, api.handle(message, {}), core::asio::use_future);
        context.run();
        return result.get();
    }

    nlohmann::json body(const std::string& method, const std::string& target,
                        const nlohmann::json& content = nullptr)
    {
        return nlohmann::json::parse(send(method, target, content).body);
    }

private:
    admin_inputs make_inputs()
    {
        return {token,
                {{"zone", "a"}},
                contracts,
                contract_store,
                backend_servers,
                metrics,
                [this] { return std::make_shared<const table_map>(table.all("backend-server/")); },
                [this](std::vector<std::string>, core::duration)
                    -> core::asio::awaitable<std::vector<router_report>> { co_return reports; },
                [this](std::string, core::duration) -> core::asio::awaitable<std::vector<trace::span>> {
                    co_return spans;
                },
                [this] { return not_ready; }};
    }
};

inline nlohmann::json make_document(double rate)
{
    return {{"customer", "reception"}, {"services", {"accueil"}}, {"requests_per_s", rate}, {"burst", 10},
            {"concurrency", 4},        {"slot_share", 0.5}};
}

inline nlohmann::json make_edit(double rate, std::int64_t expected, const std::string& operation)
{
    return {{"document", make_document(rate)},
            {"expected_version", expected},
            {"author", "ada"},
            {"operation_id", operation}};
}

inline nlohmann::json make_join(const std::string& operation, int slots = 2)
{
    return {{"service", "accueil"},     {"address", "127.0.0.1:22000"}, {"zone", "sn-1"},
            {"slots", slots},           {"connections", 120},           {"author", "ada"},
            {"operation_id", operation}};
}

inline nlohmann::json make_action(const std::string& operation, const std::string& author = "ada")
{
    return {{"author", author}, {"operation_id", operation}};
}

} // namespace briarfold::admin::tests
