/// Copy of the table on one router, complete up to a revision.
#pragma once

#include "replica/ireplica.hpp"

#include <mutex>

namespace briarfold::replica {

/// Thread-safe. Contains all changes up to the snapshot's revision. Rows that a peer pushed ahead of the feed
/// may be newer than that revision.
class replica : public ireplica
{
public:
    replica();

    std::shared_ptr<const snapshot> current() const override;
    /// Applies changed rows, including rows newer than the batch's revision. A batch of revision 0 carries
    /// only pushed rows.
    void apply(const store::row_batch& batch) override;
    void on_change(change_hook hook) override;
    core::time_point confirmed_at() const override;

    /// Applies a batch of all rows at its revision and deletes the rows that it lacks. Ignores a batch that
    /// is not newer than the replica.
    void apply_all(const store::row_batch& batch);
    /// Returns the rows changed after `since`; the batch is empty and marked as truncated when the deletions
    /// since then are not all known.
    store::row_batch changes_since(std::int64_t since) const;
    /// Returns all rows at the replica's revision.
    store::row_batch all_rows() const;
    /// Records that the replica was current at `at`, the time at which the upstream was known to be current.
    /// An earlier time than the recorded one has no effect.
    void confirm(core::time_point at);

private:
    using row_map = std::map<std::string, std::shared_ptr<const store::row>, std::less<>>;

    bool is_newer(const row_map& rows, const store::row& candidate) const;
    void apply_row(row_map& rows, const store::row& changed);
    void publish(row_map rows, std::int64_t revision, const std::vector<store::row>& changed,
                 std::unique_lock<std::mutex> lock);

    mutable std::mutex mutex_;
    std::shared_ptr<const snapshot> current_;
    /// Revisions at which rows were deleted, by row key.
    std::map<std::string, std::int64_t, std::less<>> deletions_;
    /// `deletions_` contains all deletions after this revision.
    std::int64_t deletions_complete_after_ = 0;
    core::time_point confirmed_at_{};
    std::vector<change_hook> hooks_;
};

} // namespace briarfold::replica
