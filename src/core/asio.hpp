/// Boost.Asio with coroutines. Asio 1.74 uses std::exchange and std::coroutine_handle without including their
/// headers, so every file includes Asio through this one.
#pragma once

// clang-format off
#include <coroutine>
#include <utility>
#include <boost/asio.hpp>
// clang-format on

namespace briarfold::core {

namespace asio = boost::asio;

} // namespace briarfold::core
