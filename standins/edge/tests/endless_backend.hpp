/// A faulty backend server that answers each request with bytes without end.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "http/http_types.hpp"
#include "scenarios/ports.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace briarfold::standins {

/// What such a server sends: a beginning, and bytes that are repeated until the caller closes.
struct endless_form
{
    const char* name;
    std::string beginning;
    std::string repeated;
};

inline std::vector<endless_form> make_endless_forms()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"chunk extension", chunked + "1;", "extension"},
            {"trailer", chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
            {"length", head + "Content-Length: 4000000000\r\n\r\n", "counted "},
            {"small chunks", chunked, "1\r\nx\r\n"},
            {"body until close", head + "\r\n", "bytes "},
            {"head", head, "X-Filler: more\r\n"},
            {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"bytes after an answer", head + "Content-Length: 2\r\n\r\nok", "more "}};
}

/// Runs on a thread of its own, so that it sends as fast as its callers read.
class endless_backend
{
public:
    endless_backend(std::string id, std::string service, endless_form form)
        : id_(std::move(id)), service_(std::move(service)), form_(std::move(form)),
          acceptor_(context_, {core::asio::ip::make_address("127.0.0.1"), scenarios::take_port()})
    {
        core::asio::co_spawn(context_, accept(), core::asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }
    ~endless_backend()
    {
        context_.stop();
        thread_.join();
    }
    endless_backend(const endless_backend&) = delete;
    endless_backend& operator=(const endless_backend&) = delete;

    const std::string& id() const { return id_; }
    const endless_form& form() const { return form_; }
    std::size_t calls() const { return calls_; }
    std::size_t sent_bytes() const { return sent_bytes_; }
    nlohmann::json registration() const
    {
        constexpr int slots = 6;
        return {{"address", "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
                {"born", core::clock::wall().ms},
                {"info", {{"backend", service_}, {"version", "v1"}, {"zone", "a"}, {"capacity", slots}}},
                {"status", {{"phase", "ready"}, {"sequence", 1}, {"warmup-left-ms", 0}}}};
    }

private:
    core::asio::awaitable<void> accept()
    {
        while (true)
        {
            auto socket = co_await acceptor_.async_accept(core::asio::use_awaitable);
            core::asio::co_spawn(context_, serve(std::move(socket)), core::asio::detached);
        }
    }

    core::asio::awaitable<void> serve(core::asio::ip::tcp::socket socket)
    {
        namespace asio = core::asio;
        constexpr std::size_t block_bytes = 65536;
        std::string input;
        boost::system::error_code code;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, code));
        if (code)
        {
            co_return;
        }
        ++calls_;
        std::string block;
        while (block.size() < block_bytes)
        {
            block += form_.repeated;
        }
        std::string next = form_.beginning + block;
        while (!code)
        {
            sent_bytes_ += co_await asio::async_write(socket, asio::buffer(next),
                                                      asio::redirect_error(asio::use_awaitable, code));
            next = block;
        }
    }

    std::string id_;
    std::string service_;
    endless_form form_;
    core::asio::io_context context_;
    core::asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::size_t> calls_{0};
    std::atomic<std::size_t> sent_bytes_{0};
    std::thread thread_;
};

} // namespace briarfold::standins
