/// Asks all routers for their state, and answers for this one.
#pragma once

#include "admin/router_report.hpp"
#include "contracts/icontracts.hpp"
#include "core/asio.hpp"
#include "membership/membership_types.hpp"
#include "replica/ireplica.hpp"
#include "trace/span_recorder.hpp"
#include "trace/trace_types.hpp"
#include "wire/ipeer_rpc.hpp"

#include <string>
#include <vector>

namespace briarfold::admin {

/// Thread-safe. Routers are those with a `router/` row, so that a router which is only suspected is asked
/// too, and shown as unreachable when it does not answer.
class cluster_view
{
public:
    /// Registers the methods `admin_report` and `admin_spans`. Everything passed must outlive it.
    cluster_view(wire::ipeer_rpc& rpc, const membership::router_info& self, replica::ireplica& replica,
                 const contracts::icontracts& contracts, const trace::span_recorder& spans);

    router_report own_report(const std::vector<std::string>& customers) const;
    /// One report for each router, sorted by instance id.
    core::asio::awaitable<std::vector<router_report>> ask_all(std::vector<std::string> customers,
                                                              core::duration timeout);
    /// Spans of a request on all routers that answered, by start time.
    core::asio::awaitable<std::vector<trace::span>> find_spans(std::string request_id,
                                                               core::duration timeout);

private:
    std::vector<membership::router_info> others() const;
    /// Answers in the order of `peers`; null where a peer did not answer.
    core::asio::awaitable<std::vector<nlohmann::json>> call_all(std::vector<membership::router_info> peers,
                                                                std::string method, nlohmann::json parameters,
                                                                core::duration timeout);

    wire::ipeer_rpc& rpc_;
    const membership::router_info self_;
    replica::ireplica& replica_;
    const contracts::icontracts& contracts_;
    const trace::span_recorder& spans_;
};

} // namespace briarfold::admin
