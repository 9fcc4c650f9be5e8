/// Exchange of rows between routers through the JSON-RPC method `changes`.
#pragma once

#include "replica/feed.hpp"
#include "wire/ipeer_rpc.hpp"

namespace briarfold::replica {

/// Upstream that reads from another router.
class peer_source : public ifeed_source
{
public:
    peer_source(wire::ipeer_rpc& peers, std::string instance_id, http::endpoint peer);

    std::string name() const override { return instance_id_; }
    core::asio::awaitable<feed_answer> changes(std::int64_t since, core::duration wait) override;
    core::asio::awaitable<feed_answer> read_all() override;

private:
    core::asio::awaitable<feed_answer> request_rows(std::int64_t since, core::duration wait,
                                                    core::duration timeout);

    wire::ipeer_rpc& peers_;
    std::string instance_id_;
    http::endpoint peer_;
};

/// Registers the method `changes`, which answers {since, wait_ms} with {revision, age_ms, truncated, rows};
/// `since` below 0 requests all rows. Both arguments must outlive the handling of requests.
void serve_changes(wire::ipeer_rpc& peers, replica& rows);

nlohmann::json to_json(const store::row& value);
/// Throws core::error when a field is missing or has the wrong type.
store::row parse_row(const nlohmann::json& value);

} // namespace briarfold::replica
