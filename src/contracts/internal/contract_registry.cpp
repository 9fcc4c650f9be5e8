#include "contracts/contract_registry.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace briarfold::contracts {

namespace {

bool is_contract_key(std::string_view key)
{
    return key.starts_with(contract_prefix);
}

std::string customer_of(std::string_view key)
{
    return std::string(key.substr(contract_prefix.size()));
}

} // namespace

contract_registry::contract_registry(replica::ireplica& replica, std::function<core::time_point()> now)
    : replica_(replica), now_(std::move(now)), current_(std::make_shared<contract_table>())
{
    replica_.on_change([this](const std::shared_ptr<const replica::snapshot>& rows,
                              const std::vector<store::row>& changes) { update(*rows, changes); });
    const auto rows = replica_.current();
    std::vector<store::row> current_rows;
    for (const auto& row : rows->rows | std::views::values)
    {
        current_rows.push_back(*row);
    }
    update(*rows, current_rows);
}

contract_pointer contract_registry::apply(contract_table& table, const store::row& row)
{
    const auto customer = customer_of(row.key);
    if (row.value.is_null())
    {
        table.contracts.erase(customer);
        table.rejected.erase(customer);
        return nullptr;
    }
    try
    {
        auto version = std::make_shared<const contract_version>(parse_row(row));
        table.contracts[customer] = version;
        table.rejected.erase(customer);
        return version;
    }
    catch (const core::error& failure)
    {
        table.rejected[customer] = {row.version, row.revision, failure.what()};
        return nullptr;
    }
}

void contract_registry::update(const replica::snapshot& rows, const std::vector<store::row>& changes)
{
    {
        const std::scoped_lock lock(mutex_);
        auto next = std::make_shared<contract_table>(*current_);
        next->revision = std::max(next->revision, rows.revision);
        for (const auto& row : changes)
        {
            // Hooks of two snapshots may run in either order, so the revision is compared for each row.
            if (!is_contract_key(row.key) || row.revision <= revisions_[customer_of(row.key)])
            {
                continue;
            }
            revisions_[customer_of(row.key)] = row.revision;
            if (auto version = apply(*next, row))
            {
                pending_.push_back(std::move(version));
            }
        }
        current_ = std::move(next);
    }
    deliver();
}

void contract_registry::deliver()
{
    std::unique_lock lock(mutex_);
    // Only one thread calls hooks at a time, so that they get the versions of a customer in ascending order.
    if (is_delivering_)
    {
        return;
    }
    is_delivering_ = true;
    while (!pending_.empty())
    {
        const auto versions = std::exchange(pending_, {});
        const auto hooks = hooks_;
        lock.unlock();
        for (const auto& version : versions)
        {
            std::ranges::for_each(hooks, [&version](const auto& hook) { hook(version); });
        }
        lock.lock();
    }
    is_delivering_ = false;
}

lookup_result contract_registry::find(std::string_view customer) const
{
    const auto table = current();
    const auto position = table->contracts.find(customer);
    if (position != table->contracts.end())
    {
        return {position->second, true};
    }
    return {nullptr, table->revision > 0 && unconfirmed_for() < confirmation_bound};
}

std::shared_ptr<const contract_table> contract_registry::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

core::duration contract_registry::unconfirmed_for() const
{
    return now_() - replica_.confirmed_at();
}

void contract_registry::on_applied(applied_hook hook)
{
    const std::scoped_lock lock(mutex_);
    hooks_.push_back(std::move(hook));
}

} // namespace briarfold::contracts
