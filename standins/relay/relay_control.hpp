/// Control endpoint of the relay: `GET /control/pairs`, `POST /control/pairs/<name>` and, for every pair
/// whose name starts with a text, `POST /control/pairs/<text>*`.
#pragma once

#include "http/http_types.hpp"
#include "standins/relay/relay_pair.hpp"

#include <list>

namespace briarfold::standins {

http::response answer_control(std::list<relay_pair>& pairs, const http::request& message);

} // namespace briarfold::standins
