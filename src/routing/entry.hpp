/// Entry role: validates requests, finds the owner of the key, selects the front, holds requests while
/// ownership moves, and retries.
#pragma once

#include "membership/imembership.hpp"
#include "ownership/iownership.hpp"
#include "routing/counters.hpp"
#include "routing/hooks.hpp"
#include "routing/ientry.hpp"
#include "routing/ifront.hpp"
#include "wire/iforwarder.hpp"

#include <memory>

namespace briarfold::routing {

/// Dependencies of the entry. All of them must outlive the entry and its requests.
struct entry_parts
{
    entry_parts(ownership::iownership& ownership_part, membership::imembership& membership_part,
                ifront& front_part, wire::iforwarder& forwarder_part, routing_counters& counter_part)
        : ownership(ownership_part), membership(membership_part), local_front(front_part),
          forwarder(forwarder_part), counters(counter_part)
    {}

    ownership::iownership& ownership;
    membership::imembership& membership;
    ifront& local_front;
    wire::iforwarder& forwarder;
    routing_counters& counters;
};

class entry : public ientry
{
public:
    entry(const entry_parts& parts, routing_hooks hooks);
    ~entry() override;

    core::asio::awaitable<http::response> answer(http::request message,
                                                 std::shared_ptr<core::cancellation> cancel) override;
    http::response make_refusal_response(unsigned status, const std::string& reason) override;
    std::size_t in_flight() const override;
    void begin_stop() override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace briarfold::routing
