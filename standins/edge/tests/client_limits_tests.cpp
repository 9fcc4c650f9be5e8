/// Clients that nobody controls against router processes with little memory and few descriptors. The crowds
/// and the bounds are fixed; the bounds are the limits in the settings of the routers.
#include "standins/edge/tests/process_cluster.hpp"

namespace asio = briarfold::core::asio;
using namespace briarfold;
using namespace briarfold::standins;

namespace {

constexpr double memory_mb = 120;
constexpr int max_fds = 400;
constexpr std::size_t body_bytes = 12000000;
constexpr std::size_t senders = 24;
constexpr std::size_t idle_clients = 450;
constexpr std::size_t silent_readers = 40;
constexpr std::size_t answer_bytes = 2000000;

struct client_limits_fixture
{
    client_limits_fixture()
        : cluster(2, 2, scenarios_folder(), [](settings::edge_settings& value) {
              value.memory_mb = memory_mb;
              value.max_fds = max_fds;
          })
    {
        BOOST_REQUIRE(cluster.await_ready());
    }

    static std::filesystem::path scenarios_folder()
    {
        return std::filesystem::temp_directory_path() / ("client-limits-" + std::to_string(::getpid()));
    }

    /// Connects a client that stays open until the end of the case, and sends the pieces.
    asio::awaitable<void> send(std::vector<std::string> pieces)
    {
        const auto socket = std::make_shared<asio::ip::tcp::socket>(cluster.context);
        sockets.push_back(socket);
        const auto& peer = cluster.settings[0].frontend;
        const asio::ip::tcp::endpoint remote(asio::ip::make_address(peer.address), peer.port);
        boost::system::error_code code;
        co_await socket->async_connect(remote, asio::redirect_error(asio::use_awaitable, code));
        for (const auto& piece : pieces)
        {
            if (!code)
            {
                co_await asio::async_write(*socket, asio::buffer(piece),
                                           asio::redirect_error(asio::use_awaitable, code));
            }
        }
    }

    void start(std::vector<std::string> pieces)
    {
        asio::co_spawn(cluster.context, send(std::move(pieces)), asio::detached);
    }

    static std::string make_head(std::size_t number, const std::string& method, const std::string& framing)
    {
        return method + (method == "GET" ? " /keyed/x" : " /write/x") +
               " HTTP/1.1\r\nHost: h.example\r\nBriarfold-Attempt-Id: crowd-" + std::to_string(number) +
               "\r\nBriarfold-Deadline-Ms: 2000\r\nBriarfold-Shard-Key: " + std::to_string(number * 2741) +
               "\r\n" + framing + "\r\n";
    }

    void check_bounds_and_service()
    {
        constexpr double bytes_per_mb = 1e6;
        for (const auto& item : cluster.processes)
        {
            auto& process = *item;
            BOOST_REQUIRE_MESSAGE(process.is_running(), process.name() << " ended");
            const auto memory = static_cast<double>(process.peak_memory()) / bytes_per_mb;
            const auto descriptors = process.open_descriptors();
            BOOST_TEST_MESSAGE(process.name() << ": " << memory << " MB, " << descriptors << " descriptors");
            BOOST_CHECK_LT(memory, memory_mb);
            BOOST_CHECK_LT(descriptors, static_cast<std::size_t>(max_fds));
        }
        // An ordinary client repeats a refused request.
        constexpr int attempts = 20;
        const auto is_answered = [this] {
            const auto known = cluster.records.size();
            cluster.start_load(1, 1);
            cluster.run_for(500);
            return std::any_of(cluster.records.begin() + static_cast<std::ptrdiff_t>(known),
                               cluster.records.end(), [](const auto& item) { return item.status == 200; });
        };
        bool has_answer = false;
        for (int i = 0; i < attempts && !has_answer; ++i)
        {
            has_answer = is_answered();
        }
        BOOST_CHECK(has_answer);
    }

    process_cluster cluster;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_limits_tests, client_limits_fixture)

// Guards against a process that runs out of memory when many clients send large bodies and most stop before
// the end.
BOOST_AUTO_TEST_CASE(many_large_bodies_stay_within_the_memory)
{
    constexpr std::size_t piece_bytes = 60000;
    for (std::size_t i = 0; i < senders; ++i)
    {
        const bool is_chunked = i % 2 == 0;
        const bool is_whole = i % 4 < 2;
        const bool is_complete = i % 6 == 0;
        const std::string piece(is_whole ? body_bytes : piece_bytes, 'x');
        std::vector<std::string> pieces{
            make_head(i, "POST",
                      is_chunked ? "Transfer-Encoding: chunked\r\n"
                                 : "Content-Length: " + std::to_string(body_bytes) + "\r\n")};
        for (std::size_t sent = 0; sent < body_bytes; sent += piece.size())
        {
            std::ostringstream size;
            size << std::hex << piece.size();
            pieces.push_back(is_chunked ? size.str() + "\r\n" + piece + "\r\n" : piece);
        }
        if (is_chunked)
        {
            pieces.emplace_back("0\r\n\r\n");
        }
        if (!is_complete)
        {
            pieces.back().pop_back();
        }
        start(std::move(pieces));
    }
    cluster.run_for(8000);
    check_bounds_and_service();
}

// Guards against a process without free descriptors, which can reach neither backend servers nor the store.
BOOST_AUTO_TEST_CASE(many_idle_connections_leave_descriptors_free)
{
    for (std::size_t i = 0; i < idle_clients; ++i)
    {
        start(i % 2 == 0 ? std::vector<std::string>()
                         : std::vector<std::string>{"POST /write/x HTTP/1.1\r\n"});
    }
    cluster.run_for(1500);
    check_bounds_and_service();
}

// Guards against responses that pile up in memory for clients that do not read them.
BOOST_AUTO_TEST_CASE(clients_that_read_nothing_stay_within_the_memory)
{
    for (const auto& item : cluster.backends)
    {
        item->set_answer_bytes(answer_bytes);
    }
    for (std::size_t i = 0; i < silent_readers; ++i)
    {
        start({make_head(i, "GET", "") + make_head(i + silent_readers, "GET", "")});
    }
    cluster.run_for(5000);
    check_bounds_and_service();
}

BOOST_AUTO_TEST_SUITE_END()
