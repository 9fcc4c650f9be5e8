/// The ownership protocol of one router, driven by real time, sockets and the store.
#pragma once

#include "history/writer.hpp"
#include "membership/heartbeat_service.hpp"
#include "ownership/iownership.hpp"
#include "replica/replica.hpp"
#include "wire/ipeer_rpc.hpp"

#include <cstdint>

namespace briarfold::ownership {

/// The services that the protocol uses. All of them must outlive it.
struct ownership_dependencies
{
    membership::membership& members;
    membership::heartbeat_service& heartbeats;
    replica::replica& rows;
    store::itable_store& store;
    wire::ipeer_rpc& peers;
    history::writer& history;
};

/// Event counts since the protocol was created.
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
    std::uint64_t fences_requested = 0;
    std::uint64_t fences_promised = 0;
    std::uint64_t rows_pushed = 0;
    /// Current number of backend server rows that this router controls.
    std::uint64_t controlled_rows = 0;
};

/// Runs the ownership protocol of one router. Thread-safe. start() registers the peer methods `fence`,
/// `row_changed`, `hand_over` and `move`.
class ownership : public iownership
{
public:
    ownership(const core::asio::any_io_executor& executor, ownership_dependencies dependencies);
    /// Stops the protocol without waiting for pending work, which ends by itself. Run the executor until it
    /// is idle, or stop it, before destruction.
    ~ownership() override;

    /// Sets the hooks of the heartbeat service and starts the protocol. Must be called before
    /// heartbeat_service::start.
    void start();
    /// Stops the timers. Called at the end of the process, after hand_over_all.
    void stop();
    protocol_counters counters() const;

    std::shared_ptr<const iownership_map> map() const override;
    void on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook) override;
    core::duration unchecked_authority(const std::string& backend_server_id) const override;
    core::asio::awaitable<bool> move(slice_move request) override;
    /// Returns when this router controls no row, no other router is live, or 5 s have passed.
    core::asio::awaitable<void> hand_over_all() override;

private:
    class driver;
    std::shared_ptr<driver> driver_;
};

} // namespace briarfold::ownership
