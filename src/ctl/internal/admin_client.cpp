#include "ctl/admin_client.hpp"

#include "core/asio.hpp"
#include "core/error.hpp"
#include "http/client_connection.hpp"

#include <algorithm>
#include <memory>

namespace briarfold::ctl {

send_hook make_sender(std::vector<http::endpoint> routers, std::string token, core::duration timeout)
{
    return [routers = std::move(routers), token = std::move(token), timeout](http::request message) {
        message.headers.emplace_back("Authorization", "Bearer " + token);
        message.headers.emplace_back("Content-Type", "application/json");
        std::string reasons;
        for (const auto& router : routers)
        {
            try
            {
                core::asio::io_context context;
                auto answer = core::asio::co_spawn(context, http::fetch(router, message, timeout),
                                                   core::asio::use_future);
                context.run();
                return answer.get();
            }
            catch (const core::error& failure)
            {
                reasons += (reasons.empty() ? "" : "; ") + std::string(failure.what());
            }
        }
        throw core::error("admin request", "", "no router answered: " + reasons);
    };
}

} // namespace briarfold::ctl
