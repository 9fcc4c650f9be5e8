/// Client of the table service over HTTP.
#pragma once

#include "http/http_types.hpp"
#include "store/itable_store.hpp"

#include <memory>

namespace briarfold::store {

class connection_pool;

/// Thread-safe. Keeps a few connections open to `service`.
class http_table_store : public itable_store
{
public:
    http_table_store(const core::asio::any_io_executor& executor, const http::endpoint& service);
    ~http_table_store() override;

    core::asio::awaitable<commit_result> commit(std::string operation_id, std::vector<row_write> writes,
                                                core::duration timeout) override;
    core::asio::awaitable<std::optional<row>> read(std::string key, core::duration timeout) override;
    core::asio::awaitable<row_batch> read_prefix(std::string prefix, core::duration timeout) override;
    core::asio::awaitable<row_batch> changes(std::int64_t since, core::duration wait) override;

private:
    /// The row whose operation id tells whether an attempt committed; empty when nothing is known.
    core::asio::awaitable<std::optional<commit_result>>
    find_committed(std::string operation_id, const std::vector<row_write>& writes, core::duration timeout);

    std::shared_ptr<connection_pool> pool_;
};

} // namespace briarfold::store
