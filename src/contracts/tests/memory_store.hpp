/// In-memory table service and object store with fault injection, for tests.
#pragma once

#include "store/iobject_store.hpp"
#include "store/itable_store.hpp"

#include <algorithm>
#include <map>
#include <mutex>

namespace briarfold::contracts::tests {

class memory_table : public store::itable_store
{
public:
    /// Number of next commits that take effect but throw store_error, as if the answer was lost.
    int lost_answers = 0;
    /// If set, every call throws store_error.
    bool is_down = false;
    /// Called once, before the next commit, without the lock held.
    std::function<void()> before_commit;

    core::asio::awaitable<store::commit_result>
    commit(std::string operation_id, std::vector<store::row_write> writes, core::duration) override
    {
        if (before_commit)
        {
            std::exchange(before_commit, {})();
        }
        co_return commit_now(operation_id, writes);
    }

    core::asio::awaitable<std::optional<store::row>> read(std::string key, core::duration) override
    {
        check_available();
        const std::scoped_lock lock(mutex_);
        std::optional<store::row> found;
        if (rows_.contains(key))
        {
            found = rows_.at(key);
        }
        co_return found;
    }

    core::asio::awaitable<store::row_batch> read_prefix(std::string prefix, core::duration) override
    {
        check_available();
        co_return all(prefix);
    }

    core::asio::awaitable<store::row_batch> changes(std::int64_t, core::duration) override
    {
        check_available();
        co_return all("");
    }

    store::row_batch all(const std::string& prefix) const
    {
        const std::scoped_lock lock(mutex_);
        store::row_batch batch;
        batch.revision = revision_;
        for (const auto& [key, row] : rows_)
        {
            if (key.starts_with(prefix))
            {
                batch.rows.push_back(row);
            }
        }
        return batch;
    }

    store::commit_result commit_now(const std::string& operation_id,
                                    const std::vector<store::row_write>& writes)
    {
        check_available();
        const std::scoped_lock lock(mutex_);
        store::commit_result result;
        for (const auto& write : writes)
        {
            const auto version = rows_.contains(write.key) ? rows_.at(write.key).version : 0;
            if (version != write.expected_version)
            {
                result.conflicts.push_back(version == 0 ? store::row(write.key, 0, 0, "", nullptr)
                                                        : rows_.at(write.key));
            }
        }
        if (!result.conflicts.empty())
        {
            return result;
        }
        result.is_committed = true;
        result.revision = ++revision_;
        for (const auto& write : writes)
        {
            if (write.value.is_null())
            {
                rows_.erase(write.key);
                continue;
            }
            rows_[write.key] = {write.key, write.expected_version + 1, revision_, operation_id, write.value};
        }
        if (lost_answers > 0)
        {
            --lost_answers;
            throw store::store_error("table transaction", "memory", "answer lost");
        }
        return result;
    }

private:
    void check_available() const
    {
        if (is_down)
        {
            throw store::store_error("table", "memory", "down");
        }
    }

    mutable std::mutex mutex_;
    std::map<std::string, store::row> rows_;
    std::int64_t revision_ = 0;
};

class memory_objects : public store::iobject_store
{
public:
    bool is_down = false;

    core::asio::awaitable<void> put(std::string name, std::string content, core::duration) override
    {
        check_available();
        objects_[name] = content;
        co_return;
    }

    core::asio::awaitable<std::optional<std::string>> get(std::string name, core::duration) override
    {
        check_available();
        std::optional<std::string> found;
        if (objects_.contains(name))
        {
            found = objects_.at(name);
        }
        co_return found;
    }

private:
    void check_available() const
    {
        if (is_down)
        {
            throw store::store_error("object", "memory", "down");
        }
    }

    std::map<std::string, std::string> objects_;
};

} // namespace briarfold::contracts::tests
