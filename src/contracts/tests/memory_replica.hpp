/// A replica whose rows and confirmation are set by the test.
#pragma once

#include "replica/ireplica.hpp"

#include <algorithm>
#include <vector>

namespace briarfold::contracts::tests {

/// In-memory replica that publishes all rows in call order, older revisions included.
class memory_replica : public replica::ireplica
{
public:
    std::shared_ptr<const replica::snapshot> current() const override { return current_; }

    void apply(const store::row_batch& batch) override
    {
        auto next = std::make_shared<replica::snapshot>(*current_);
        next->revision = std::max(next->revision, batch.revision);
        for (const auto& row : batch.rows)
        {
            next->rows[row.key] = std::make_shared<const store::row>(row);
        }
        current_ = next;
        std::ranges::for_each(hooks_, [&](const auto& hook) { hook(current_, batch.rows); });
    }

    void on_change(replica::change_hook hook) override { hooks_.push_back(std::move(hook)); }
    core::time_point confirmed_at() const override { return confirmed; }

    core::time_point confirmed;

private:
    std::shared_ptr<const replica::snapshot> current_ = std::make_shared<replica::snapshot>();
    std::vector<replica::change_hook> hooks_;
};

} // namespace briarfold::contracts::tests
