#include "scenarios/deployment_spec.hpp"

#include "core/error.hpp"

namespace briarfold::scenarios {

namespace {

deployment_spec make_fairway()
{
    deployment_spec spec;
    spec.name = "fairway";
    spec.customer = "harbour-kiosks";
    spec.zones = {"bc-coast-a", "bc-coast-b", "bc-coast-c"};
    spec.routers = 6;
    service_spec slow;
    slow.name = "fleetdesk";
    slow.id_prefix = "fd-";
    slow.backend_servers = 6;
    slow.slots = 6;
    slow.connections = 130;
    slow.latency.ms = 30;
    slow.keys = 24;
    slow.requests_per_s = 5;
    service_spec live = slow;
    live.name = "courseline";
    live.id_prefix = "cl-";
    live.backend_servers = 3;
    live.latency.ms = 3;
    live.keys = 24;
    live.requests_per_s = 10;
    spec.services = {slow, live};
    return spec;
}

deployment_spec make_teranga()
{
    deployment_spec spec;
    spec.name = "teranga";
    spec.customer = "reception";
    spec.zones = {"sn-ouest-a", "sn-ouest-b", "sn-ouest-c", "sn-ouest-d"};
    spec.routers = 8;
    service_spec reception;
    reception.name = "accueil";
    reception.id_prefix = "ac-";
    reception.backend_servers = 8;
    reception.slots = 2;
    reception.connections = 120;
    reception.latency.ms = 10;
    reception.keys = 32;
    reception.requests_per_s = 5;
    service_spec visits = reception;
    visits.name = "delegations";
    visits.id_prefix = "dg-";
    visits.backend_servers = 4;
    visits.keys = 16;
    spec.services = {reception, visits};
    return spec;
}

} // namespace

deployment_spec make_deployment(const std::string& name)
{
    if (name == "fairway")
    {
        return make_fairway();
    }
    if (name == "teranga")
    {
        return make_teranga();
    }
    throw core::error("choose deployment", "",
                      "unknown deployment \"" + name + "\"; fairway and teranga exist");
}

} // namespace briarfold::scenarios
