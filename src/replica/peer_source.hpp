/// Rows from and for other routers, by the JSON-RPC method `changes`.
#pragma once

#include "replica/feed.hpp"
#include "wire/ipeer_rpc.hpp"

namespace briarfold::replica {

/// A router as an upstream.
class peer_source : public ifeed_source
{
public:
    peer_source(wire::ipeer_rpc& peers, std::string instance_id, http::endpoint peer);

    std::string name() const override { return instance_id_; }
    core::asio::awaitable<feed_answer> changes(std::int64_t since, core::duration wait) override;
    core::asio::awaitable<feed_answer> read_all() override;

private:
    core::asio::awaitable<feed_answer> ask(std::int64_t since, core::duration wait, core::duration timeout);

    wire::ipeer_rpc& peers_;
    std::string instance_id_;
    http::endpoint peer_;
};

/// Answers `changes` {since, wait_ms} with {revision, age_ms, truncated, rows}; `since` below 0 asks for all
/// rows. Both arguments outlive the network.
void serve_changes(wire::ipeer_rpc& peers, replica& rows);

nlohmann::json to_json(const store::row& value);
/// Throws core::error.
store::row parse_row(const nlohmann::json& value);

} // namespace briarfold::replica
