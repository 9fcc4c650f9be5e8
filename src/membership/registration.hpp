/// Keeps this router's own row in the table.
#pragma once

#include "core/asio.hpp"
#include "membership/membership_types.hpp"
#include "replica/ireplica.hpp"
#include "store/itable_store.hpp"

#include <atomic>

namespace briarfold::membership {

class registration
{
public:
    registration(router_info self, store::itable_store& store, replica::ireplica& rows);

    /// Writes the row, and writes it again when another router removed it, until `stop`. Store failures are
    /// retried; never throws.
    core::asio::awaitable<void> run();
    /// Deletes the row; for a graceful stop, after `stop`. Gives up silently when the store does not answer,
    /// since other routers remove the row later.
    core::asio::awaitable<void> remove();
    void stop() { is_stopping_ = true; }

private:
    core::asio::awaitable<bool> write();

    router_info self_;
    store::itable_store& store_;
    replica::ireplica& rows_;
    std::int64_t started_ms_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace briarfold::membership
