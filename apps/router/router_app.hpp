/// The router process: composes the components, starts them and stops them gracefully.
#pragma once

#include "core/asio.hpp"
#include "settings/router_settings.hpp"

#include <memory>

namespace briarfold::router {

class router_app
{
public:
    /// Opens all listening ports. Throws core::error when a port is in use or a file cannot be opened.
    explicit router_app(settings::router_settings values);
    ~router_app();

    /// Runs until SIGTERM or SIGINT, then stops gracefully. Returns the exit status.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace briarfold::router
