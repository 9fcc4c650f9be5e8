/// The interface of the ownership protocol for routing and administration.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "ownership/ownership_types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarfold::ownership {

/// An immutable snapshot of the backend servers and the owner of each slice at one table revision.
class iownership_map
{
public:
    virtual ~iownership_map() = default;

    virtual std::int64_t revision() const = 0;
    /// Returns the backend server whose row lists the hash, or null when the service is unknown or the hash
    /// has no owner. Takes one binary search over the slices of the service.
    virtual std::shared_ptr<const backend_server> owner(const std::string& service,
                                                        std::uint64_t hash) const = 0;
    virtual bool has_service(const std::string& service) const = 0;
    virtual std::shared_ptr<const backend_server> find(const std::string& id) const = 0;
    virtual std::vector<std::shared_ptr<const backend_server>> all() const = 0;
};

/// A request to move `part`, which lies inside one slice of the source, to another backend server of the
/// service.
struct slice_move
{
    slice part;
    std::string source;
    std::string target;

    bool operator==(const slice_move&) const = default;
};

class iownership
{
public:
    virtual ~iownership() = default;

    /// Thread-safe.
    virtual std::shared_ptr<const iownership_map> map() const = 0;
    /// Registers a hook that is called, without a lock held, after a newer map is published.
    virtual void on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook) = 0;
    /// Returns the remaining time in which this router may send work to a backend server that does not check
    /// grants: its voucher for the row less timing::unchecked_order_margin. Zero when this router is not its
    /// controller or may send it nothing now.
    virtual core::duration unchecked_authority(const std::string& backend_server_id) const = 0;
    /// Asks the controller of the source to move the slice. Returns true when the move is committed, and
    /// false when it is refused, superseded or fails.
    virtual core::asio::awaitable<bool> move(slice_move request) = 0;
    /// Hands all rows of this router over to other live routers, for a graceful stop.
    virtual core::asio::awaitable<void> hand_over_all() = 0;
};

} // namespace briarfold::ownership
