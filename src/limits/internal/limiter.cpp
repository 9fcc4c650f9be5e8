#include "limits/limiter.hpp"

#include "core/error.hpp"
#include "membership/rendezvous.hpp"

#include <ranges>

namespace briarfold::limits {

namespace {

namespace asio = core::asio;

constexpr const char* method = "shares";
constexpr core::duration poll_interval{20};

std::string rendezvous_key(const std::string& customer)
{
    return "limits/" + customer;
}

} // namespace

shared_limits shared_limits_of(const contracts::contract_version& contract)
{
    return {contract.contract.requests_per_s(), static_cast<double>(contract.contract.burst()),
            contract.contract.concurrency()};
}

/// Releases the request in flight on destruction. May outlive the limiter, in a request that is still in
/// flight when the limiter is destroyed.
class limiter::permit_guard
{
public:
    permit_guard(std::weak_ptr<limiter> target, std::weak_ptr<entry> owner)
        : target_(std::move(target)), owner_(std::move(owner))
    {}
    ~permit_guard()
    {
        if (const auto alive = target_.lock())
        {
            alive->release(owner_);
        }
    }
    permit_guard(const permit_guard&) = delete;
    permit_guard& operator=(const permit_guard&) = delete;

private:
    std::weak_ptr<limiter> target_;
    std::weak_ptr<entry> owner_;
};

limiter::limiter(wire::ipeer_rpc& rpc, membership::imembership& membership, metrics::registry& metrics,
                 limits_lookup lookup, std::function<core::time_point()> now)
    : rpc_(rpc), membership_(membership), metrics_(metrics), lookup_(std::move(lookup)), now_(std::move(now)),
      requests_sent_(
          metrics.counter("briarfold_limit_share_requests_total", "Requests for shares of a limit.")),
      requests_failed_(metrics.counter("briarfold_limit_share_failures_total",
                                       "Requests for shares that the coordinator did not answer."))
{
    rpc_.register_method(
        method, [this](std::string from, nlohmann::json parameters) -> asio::awaitable<nlohmann::json> {
            co_return to_json(grant(from, parse_share_request(parameters)));
        });
}

limiter::entry& limiter::find_or_create(const contracts::contract_version& contract, core::time_point now)
{
    const auto routers = membership_.live()->size();
    const auto limits = shared_limits_of(contract);
    auto& found = customers_[contract.contract.customer()];
    if (!found)
    {
        found = std::make_shared<entry>(contract.contract.customer(), limits, routers, now);
    }
    found->limit.set_limits(limits, routers, now);
    return *found;
}

admission limiter::admit(const contracts::contract_version& contract)
{
    const auto now = now_();
    const auto& customer = contract.contract.customer();
    admission_result outcome;
    std::weak_ptr<entry> owner;
    {
        const std::scoped_lock lock(mutex_);
        auto& item = find_or_create(contract, now);
        outcome = item.limit.admit(now);
        if (outcome.limit == limit_kind::none)
        {
            item.retries.add_request(contract.contract.retry_budget());
        }
        owner = customers_.at(customer);
    }
    if (outcome.limit != limit_kind::none)
    {
        metrics_
            .counter("briarfold_limit_refusals_total", "Requests refused by the limits of a contract.",
                     {{"customer", customer}, {"limit", to_string(outcome.limit)}})
            .add();
        return admission(outcome.limit, outcome.retry_after);
    }
    return admission(std::make_shared<permit_guard>(weak_from_this(), owner));
}

void limiter::release(const std::weak_ptr<entry>& owner)
{
    const std::scoped_lock lock(mutex_);
    if (const auto item = owner.lock())
    {
        item->limit.release();
    }
}

bool limiter::take_retry(const contracts::contract_version& contract)
{
    const std::scoped_lock lock(mutex_);
    return find_or_create(contract, now_()).retries.take();
}

void limiter::remove_reassigned_customers(const membership::live_routers& live)
{
    const std::scoped_lock lock(mutex_);
    std::erase_if(coordinated_, [&](const auto& item) {
        const auto order = membership::rendezvous_order(*live, rendezvous_key(item.first));
        return order.empty() || order.front().instance_id != membership_.self().instance_id;
    });
}

share_grant limiter::grant(const std::string& router, const share_request& request)
{
    const auto limits = lookup_(request.customer);
    if (!limits)
    {
        throw core::error("grant share", router, "there is no contract for customer " + request.customer);
    }
    const auto now = now_();
    const auto routers = membership_.live()->size();
    const std::scoped_lock lock(mutex_);
    auto& coordinator = coordinated_.try_emplace(request.customer, *limits, now).first->second;
    coordinator.set_limits(*limits);
    return coordinator.grant(router, request, routers, now);
}

std::vector<share_request> limiter::due_requests(core::time_point now)
{
    const std::scoped_lock lock(mutex_);
    std::erase_if(customers_, [now](const auto& item) { return item.second->limit.is_idle(now); });
    std::vector<share_request> due;
    for (const auto& item : customers_ | std::views::values)
    {
        if (auto request = item->limit.next_request(now))
        {
            due.push_back(std::move(*request));
        }
    }
    return due;
}

void limiter::on_answer(const std::string& customer, const std::optional<share_grant>& answer,
                        core::time_point sent)
{
    const std::scoped_lock lock(mutex_);
    const auto found = customers_.find(customer);
    if (found == customers_.end())
    {
        return;
    }
    if (answer)
    {
        found->second->limit.on_grant(*answer, sent, now_());
        return;
    }
    found->second->limit.on_failure(now_());
}

asio::awaitable<void> limiter::request_share(share_request request)
{
    const auto self = shared_from_this();
    const auto sent = now_();
    std::optional<share_grant> answer;
    try
    {
        const auto order =
            membership::rendezvous_order(*membership_.live(), rendezvous_key(request.customer));
        requests_sent_.add();
        if (order.empty() || order.front().instance_id == membership_.self().instance_id)
        {
            answer = grant(membership_.self().instance_id, request);
        }
        else
        {
            http::endpoint peer(order.front().ip, order.front().peer_port);
            const auto result =
                co_await rpc_.call(peer, method, to_json(request), share_timing::coordinator_timeout);
            answer = parse_share_grant(result);
        }
    }
    catch (const std::exception&)
    {
        requests_failed_.add();
    }
    on_answer(request.customer, answer, sent);
}

asio::awaitable<void> limiter::run()
{
    const auto self = shared_from_this();
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    membership_.on_change([owner = weak_from_this()](const membership::live_routers& live) {
        if (const auto alive = owner.lock())
        {
            alive->remove_reassigned_customers(live);
        }
    });
    while (!is_stopping_)
    {
        for (const auto& request : due_requests(now_()))
        {
            asio::co_spawn(executor, request_share(request), asio::detached);
        }
        timer.expires_after(std::chrono::milliseconds(poll_interval.ms));
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace briarfold::limits
