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

/// A strand on `base`. A strand on the io_context's own executor passes through one type-erased executor less
/// for each operation than `asio::make_strand(base)`.
inline asio::any_io_executor make_strand(const asio::any_io_executor& base)
{
    const auto* const plain = base.target<asio::io_context::executor_type>();
    return plain == nullptr ? asio::any_io_executor(asio::make_strand(base))
                            : asio::any_io_executor(asio::make_strand(*plain));
}

} // namespace briarfold::core
