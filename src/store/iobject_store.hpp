/// The platform's object store and its list of instances. Messages: docs/design.md section 5.3.
#pragma once

#include "core/asio.hpp"
#include "core/clock.hpp"

#include <optional>
#include <string>

namespace briarfold::store {

class iobject_store
{
public:
    virtual ~iobject_store() = default;

    /// Replaces the object. Throws store_error.
    virtual core::asio::awaitable<void> put(std::string name, std::string content,
                                            core::duration timeout) = 0;
    /// Empty when there is no such object. Throws store_error.
    virtual core::asio::awaitable<std::optional<std::string>> get(std::string name,
                                                                  core::duration timeout) = 0;
};

} // namespace briarfold::store
