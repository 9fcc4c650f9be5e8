/// The live routers as seen by this one.
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
    /// Routers with a row that nobody suspects, this one included, sorted by instance id. Thread-safe.
    virtual live_routers live() const = 0;
    /// First-hand evidence that a router does not answer, such as a refused connection; it leaves the live
    /// view until a heartbeat or an answer of it arrives.
    virtual void report_unreachable(const std::string& instance_id) = 0;
    /// Called after the live view changed; holds no lock.
    virtual void on_change(std::function<void(const live_routers&)> hook) = 0;
};

} // namespace briarfold::membership
