/// The ownership protocol of one router, driven by real time, sockets and the store.
#pragma once

#include "history/writer.hpp"
#include "membership/heartbeat_service.hpp"
#include "ownership/iownership.hpp"
#include "replica/replica.hpp"
#include "wire/ipeer_rpc.hpp"

#include <cstdint>

namespace briarfold::ownership {

/// What the protocol works with; everything outlives it.
struct surroundings
{
    membership::membership& members;
    membership::heartbeat_service& heartbeats;
    replica::replica& rows;
    store::itable_store& store;
    wire::ipeer_rpc& peers;
    history::writer& history;
};

/// Totals since the start.
struct protocol_counters
{
    std::uint64_t grants_sent = 0;
    std::uint64_t grants_accepted = 0;
    std::uint64_t grants_refused = 0;
    std::uint64_t exchange_failures = 0;
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t vouchers_received = 0;
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t commit_retries = 0;
    std::uint64_t fences_asked = 0;
    std::uint64_t fences_promised = 0;
    std::uint64_t rows_pushed = 0;
    /// Backend server rows that this router controls now.
    std::uint64_t controlled_rows = 0;
};

/// Thread-safe. Registers the methods `fence`, `row_changed`, `hand_over` and `move` with the peers.
class ownership : public iownership
{
public:
    ownership(const core::asio::any_io_executor& executor, surroundings parts);
    /// Pending work ends by itself; run the executor until it is idle or stop it before.
    ~ownership() override;

    /// Sets the hooks of the heartbeat service and starts the protocol; call before
    /// heartbeat_service::start.
    void start();
    /// Ends the timers; for the end of the process, after hand_over_all.
    void stop();
    protocol_counters counters() const;

    std::shared_ptr<const iownership_map> map() const override;
    void on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook) override;
    core::duration unchecked_authority(const std::string& backend_server_id) const override;
    core::asio::awaitable<bool> move(slice_move wish) override;
    /// Returns when no row is left or 5 s have passed.
    core::asio::awaitable<void> hand_over_all() override;

private:
    class driver;
    std::shared_ptr<driver> driver_;
};

} // namespace briarfold::ownership
