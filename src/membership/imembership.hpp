/// Live view: the routers that this router considers alive.
#pragma once

#include "membership/membership_types.hpp"

#include <functional>
#include <memory>

namespace briarfold::membership {

using live_routers = std::shared_ptr<const std::vector<router_info>>;

class imembership
{
public:
    virtual ~imembership() = default;

    virtual const router_info& self() const = 0;
    /// Returns the routers that have a row and are not suspected by this router, and this router itself,
    /// sorted by instance id. Thread-safe.
    virtual live_routers live() const = 0;
    /// Removes a router from the live view until a packet or an answer from it arrives. Call it only on
    /// direct evidence that the router does not answer, such as a refused connection.
    virtual void report_unreachable(const std::string& instance_id) = 0;
    /// Adds a hook that is called, without a lock held, after each change of the live view.
    virtual void on_change(std::function<void(const live_routers&)> hook) = 0;
};

} // namespace briarfold::membership
