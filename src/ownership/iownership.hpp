/// What routing and administration ask of the ownership protocol.
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

/// Backend servers and the owner of each slice at one table revision; never changes once published.
class iownership_map
{
public:
    virtual ~iownership_map() = default;

    virtual std::int64_t revision() const = 0;
    /// The backend server whose row lists the hash; null when the service is unknown or the hash has no
    /// owner. Cost: one binary search over the slices of the service.
    virtual std::shared_ptr<const backend_server> owner(const std::string& service,
                                                        std::uint64_t hash) const = 0;
    virtual bool has_service(const std::string& service) const = 0;
    virtual std::shared_ptr<const backend_server> find(const std::string& id) const = 0;
    virtual std::vector<std::shared_ptr<const backend_server>> all() const = 0;
};

/// A wish to move `part` (inside one slice of the source) to another backend server of the service.
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
    /// Called after a newer map was published; holds no lock.
    virtual void on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook) = 0;
    /// Remaining time in which this router may send work to a backend server that does not check orders:
    /// its voucher for the row less timing::unchecked_order_margin. Zero when this router is not its
    /// controller.
    virtual core::duration unchecked_authority(const std::string& backend_server_id) const = 0;
    /// Asks the controller of the source to move the slice. Returns false when it was refused or overtaken.
    virtual core::asio::awaitable<bool> move(slice_move wish) = 0;
    /// Hands all rows of this router to other live routers; for a graceful stop.
    virtual core::asio::awaitable<void> hand_over_all() = 0;
};

} // namespace briarfold::ownership
