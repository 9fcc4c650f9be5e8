/// Sends requests to the admin API of the first router that answers.
#pragma once

#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <functional>
#include <string>
#include <vector>

namespace briarfold::ctl {

/// Sends one request. Throws core::error when no router answered.
using send_hook = std::function<http::response(http::request message)>;

/// Tries the routers in order; another one is asked when a router cannot be reached or does not answer.
/// Changes carry operation ids, so that sending one twice is harmless.
send_hook make_sender(std::vector<http::endpoint> routers, std::string token, core::duration timeout);

} // namespace briarfold::ctl
