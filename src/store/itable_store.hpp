/// The platform's transactional table service. Messages: docs/design.md section 5.3.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "store/store_types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briarfold::store {

/// The service refused (429, 503) or did not answer in time; nothing is known about a write.
class store_error : public core::error
{
public:
    using core::error::error;
};

class itable_store
{
public:
    virtual ~itable_store() = default;

    /// Commits all writes or none. A lost response is resolved by reading the operation id back, then by
    /// repeating the same conditional write. Throws store_error when the outcome is still unknown after
    /// `timeout`; repeating the call with the same operation id is harmless.
    virtual core::asio::awaitable<commit_result>
    commit(std::string operation_id, std::vector<row_write> writes, core::duration timeout) = 0;
    /// Throws store_error.
    virtual core::asio::awaitable<std::optional<row>> read(std::string key, core::duration timeout) = 0;
    /// All rows whose key starts with `prefix`. Throws store_error.
    virtual core::asio::awaitable<row_batch> read_prefix(std::string prefix, core::duration timeout) = 0;
    /// Rows changed after revision `since`; waits up to `wait` for the first. Throws store_error.
    virtual core::asio::awaitable<row_batch> changes(std::int64_t since, core::duration wait) = 0;
};

} // namespace briarfold::store
