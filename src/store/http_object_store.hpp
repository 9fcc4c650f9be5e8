/// Client of the object store over HTTP.
#pragma once

#include "http/http_types.hpp"
#include "store/iobject_store.hpp"

#include <memory>

namespace briarfold::store {

class connection_pool;

/// Thread-safe. Object names are used in the URL path as they are.
class http_object_store : public iobject_store
{
public:
    http_object_store(const core::asio::any_io_executor& executor, const http::endpoint& service);
    ~http_object_store() override;

    core::asio::awaitable<void> put(std::string name, std::string content, core::duration timeout) override;
    core::asio::awaitable<std::optional<std::string>> get(std::string name, core::duration timeout) override;

private:
    std::shared_ptr<connection_pool> pool_;
};

} // namespace briarfold::store
