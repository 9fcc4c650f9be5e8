/// Creates, restores and removes this router's row in the table.
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

    /// Writes the row, and restores it whenever another router removed it, until `stop`. Retries after store
    /// failures; never throws.
    core::asio::awaitable<void> run();
    /// Deletes the row during a graceful stop; call it after `stop`. Only logs a failure of the store, since
    /// other routers remove the row later.
    core::asio::awaitable<void> remove();
    void stop() { is_stopping_ = true; }

private:
    core::asio::awaitable<bool> write_row();

    router_info self_;
    store::itable_store& store_;
    replica::ireplica& rows_;
    std::int64_t started_ms_;
    std::atomic<bool> is_stopping_{false};
};

} // namespace briarfold::membership
