#include "wire/peer_network.hpp"

#include "wire/internal/blocking_pool.hpp"
#include "wire/internal/future_wait.hpp"
#include "wire/internal/peer_link.hpp"
#include "wire/internal/peer_session.hpp"
#include "wire/internal/rpc_client.hpp"
#include "wire/internal/rpc_server.hpp"

#include <map>
#include <set>

namespace briarfold::wire {

namespace {

namespace asio = core::asio;
using boost::system::error_code;

/// A relay answers long polls of all routers of its zone at the same time: 63 with 630 nodes in 10 zones.
constexpr std::size_t rpc_threads = 128;
/// Time after the deadline in which a front can report whether the request ran.
constexpr core::duration result_grace{200};

std::string make_hello(const peer_settings& settings)
{
    std::string hello;
    internal::append_hello(hello, settings.token, settings.instance_id);
    return hello;
}

/// Runs `job` on the pool and resumes the caller on its own executor.
asio::awaitable<void> run_blocking(internal::blocking_pool& pool, const std::function<void()>& job)
{
    const auto initiate = [&pool, job](auto handler) {
        const auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        pool.run([shared, job] {
            job();
            const auto executor = asio::get_associated_executor(*shared);
            asio::post(executor, [shared] { (*shared)(); });
        });
    };
    return asio::async_initiate<const asio::use_awaitable_t<>, void()>(initiate, asio::use_awaitable);
}

} // namespace

struct peer_network::state : std::enable_shared_from_this<peer_network::state>
{
    state(const asio::any_io_executor& base, peer_settings values)
        : executor(base), settings(std::move(values)), hello(make_hello(settings)),
          acceptor(core::make_strand(base)), methods(base), calls(rpc_threads), answers(rpc_threads)
    {}

    void listen();
    asio::awaitable<void> accept();
    std::shared_ptr<internal::session_context> make_context();
    std::shared_ptr<internal::peer_link> get_or_create_link(const http::endpoint& peer);
    std::string exchange_text(const http::endpoint& peer, const std::string& message, core::duration timeout);
    void stop();

    asio::any_io_executor executor;
    peer_settings settings;
    std::string hello;
    asio::ip::tcp::acceptor acceptor;
    unsigned short port = 0;
    std::atomic<bool> is_stopping{false};
    std::shared_ptr<std::atomic<std::size_t>> unsent_results = std::make_shared<std::atomic<std::size_t>>(0);
    std::mutex mutex;
    std::shared_ptr<const forward_handler> on_forward;
    std::shared_ptr<const message_handler> on_message;
    std::map<http::endpoint, std::shared_ptr<internal::peer_link>> links;
    std::set<std::weak_ptr<internal::peer_session>, std::owner_less<>> sessions;
    internal::rpc_server methods;
    // Separate pools, so that calls waiting for a peer never prevent this router from answering.
    internal::blocking_pool calls;
    internal::blocking_pool answers;
};

void peer_network::state::listen()
{
    try
    {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(settings.listen.address),
                                              settings.listen.port);
        acceptor.open(address.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        port = acceptor.local_endpoint().port();
    }
    catch (const boost::system::system_error& failure)
    {
        throw core::connection_error("listen", http::to_string(settings.listen), failure.code().message());
    }
}

std::shared_ptr<internal::session_context> peer_network::state::make_context()
{
    auto context = std::make_shared<internal::session_context>();
    context->token = settings.token;
    context->unsent_results = unsent_results;
    context->budget = settings.budget;
    const auto weak = weak_from_this();
    context->forward = [weak]() -> std::shared_ptr<const forward_handler> {
        const auto self = weak.lock();
        if (!self)
        {
            return nullptr;
        }
        const std::scoped_lock lock(self->mutex);
        return self->on_forward;
    };
    context->message = [weak]() -> std::shared_ptr<const message_handler> {
        const auto self = weak.lock();
        if (!self)
        {
            return nullptr;
        }
        const std::scoped_lock lock(self->mutex);
        return self->on_message;
    };
    context->rpc = [weak](std::string message, std::function<void(std::string)> reply) {
        if (const auto self = weak.lock())
        {
            // The job must not own the state, because the state's destructor joins the pool that runs the
            // job.
            auto* const raw = self.get();
            self->answers.run([raw, message = std::move(message), reply = std::move(reply)] {
                reply(raw->methods.answer(message));
            });
        }
    };
    return context;
}

asio::awaitable<void> peer_network::state::accept()
{
    const auto context = make_context();
    while (!is_stopping)
    {
        error_code code;
        auto socket = co_await acceptor.async_accept(core::make_strand(executor),
                                                     asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor)
        {
            co_return;
        }
        if (code)
        {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), code);
        const auto strand = socket.get_executor();
        const auto session = std::make_shared<internal::peer_session>(std::move(socket), context);
        {
            const std::scoped_lock lock(mutex);
            std::erase_if(sessions, [](const auto& item) { return item.expired(); });
            sessions.insert(session);
        }
        asio::co_spawn(
            strand, [session] { return session->run(); }, asio::detached);
    }
}

std::shared_ptr<internal::peer_link> peer_network::state::get_or_create_link(const http::endpoint& peer)
{
    const std::scoped_lock lock(mutex);
    auto& link = links[peer];
    if (!link)
    {
        link = std::make_shared<internal::peer_link>(executor, peer, hello, settings.pong_limit,
                                                     settings.budget);
    }
    return link;
}

std::string peer_network::state::exchange_text(const http::endpoint& peer, const std::string& message,
                                               core::duration timeout)
{
    const auto link = get_or_create_link(peer);
    const auto append = [message](std::string& out, std::uint64_t id, core::duration) {
        internal::append_text(out, internal::frame_type::rpc_call, id, message);
    };
    auto answer = asio::co_spawn(
        link->strand(), link->exchange(append, core::clock::now() + timeout, {}, nullptr), asio::use_future);
    return internal::wait_for(answer, is_stopping).text;
}

void peer_network::state::stop()
{
    is_stopping = true;
    methods.stop();
    asio::post(acceptor.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->acceptor.close(ignored);
    });
    const std::scoped_lock lock(mutex);
    on_forward = nullptr;
    on_message = nullptr;
    for (const auto& [peer, link] : links)
    {
        asio::post(link->strand(), [link = link] { link->close("shutting down"); });
    }
    for (const auto& item : sessions)
    {
        if (const auto session = item.lock())
        {
            session->close();
        }
    }
}

peer_network::peer_network(const asio::any_io_executor& executor, peer_settings settings)
    : state_(std::make_shared<state>(executor, std::move(settings)))
{
    state_->listen();
    asio::co_spawn(
        state_->acceptor.get_executor(), [self = state_] { return self->accept(); }, asio::detached);
}

peer_network::~peer_network()
{
    state_->stop();
}

unsigned short peer_network::port() const
{
    return state_->port;
}

std::size_t peer_network::unsent_results() const
{
    return *state_->unsent_results;
}

void peer_network::on_forward(forward_handler handler)
{
    const std::scoped_lock lock(state_->mutex);
    state_->on_forward = std::make_shared<const forward_handler>(std::move(handler));
}

void peer_network::on_message(message_handler handler)
{
    const std::scoped_lock lock(state_->mutex);
    state_->on_message = std::make_shared<const message_handler>(std::move(handler));
}

asio::awaitable<std::string> peer_network::send_message(http::endpoint peer, std::string text,
                                                        core::duration timeout)
{
    const auto link = state_->get_or_create_link(peer);
    const auto shared = std::make_shared<std::string>(std::move(text));
    const internal::append_call append = [shared](std::string& out, std::uint64_t id, core::duration) {
        internal::append_text(out, internal::frame_type::message, id, *shared);
    };
    auto answer = co_await asio::co_spawn(link->strand(),
                                          link->exchange(append, core::clock::now() + timeout, {}, nullptr),
                                          asio::use_awaitable);
    co_return std::move(answer.text);
}

void peer_network::register_method(std::string name, rpc_handler handler)
{
    state_->methods.add(name, std::move(handler));
}

asio::awaitable<nlohmann::json> peer_network::call(http::endpoint peer, std::string method,
                                                   nlohmann::json parameters, core::duration timeout)
{
    const auto self = state_;
    const auto result = std::make_shared<nlohmann::json>();
    const auto failure = std::make_shared<std::exception_ptr>();
    auto* const raw = self.get();
    const std::function<void()> job = [raw, peer, method, parameters, timeout, result, failure] {
        const internal::rpc_transport transport = [raw, peer, timeout](const std::string& message) {
            return raw->exchange_text(peer, message, timeout);
        };
        try
        {
            *result = internal::call_blocking(transport, http::to_string(peer), method,
                                              raw->settings.instance_id, parameters);
        }
        catch (...)
        {
            *failure = std::current_exception();
        }
    };
    co_await run_blocking(self->calls, job);
    if (*failure)
    {
        std::rethrow_exception(*failure);
    }
    co_return std::move(*result);
}

asio::awaitable<forward_result> peer_network::forward(http::endpoint peer, forward_request request,
                                                      std::shared_ptr<core::cancellation> cancel)
{
    const auto link = state_->get_or_create_link(peer);
    const auto deadline = core::clock::now() + request.deadline;
    const auto shared = std::make_shared<forward_request>(std::move(request));
    const internal::append_call append = [shared](std::string& out, std::uint64_t id, core::duration left) {
        shared->deadline = left;
        internal::append_forward(out, id, *shared);
    };
    auto answer = co_await asio::co_spawn(link->strand(),
                                          link->exchange(append, deadline, result_grace, std::move(cancel)),
                                          asio::use_awaitable);
    co_return std::move(answer.result);
}

} // namespace briarfold::wire
