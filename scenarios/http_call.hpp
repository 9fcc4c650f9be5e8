/// Blocking HTTP calls to control endpoints.
#pragma once

#include "core/clock.hpp"
#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

namespace briarfold::scenarios {

constexpr core::duration control_timeout{5000};

/// Throws core::error.
http::response call(const http::endpoint& peer, http::request message,
                    core::duration timeout = control_timeout);
/// The answer, or status 0 when there was none.
http::response try_call(const http::endpoint& peer, http::request message,
                        core::duration timeout = control_timeout);
/// POSTs `body`. Throws core::error unless the status is 200.
nlohmann::json post(const http::endpoint& peer, const std::string& target, const nlohmann::json& body);

} // namespace briarfold::scenarios
