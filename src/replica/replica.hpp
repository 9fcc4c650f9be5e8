/// The replica of one router: rows by key, complete up to a revision.
#pragma once

#include "replica/ireplica.hpp"

#include <mutex>

namespace briarfold::replica {

/// Thread-safe. Rows that a peer pushed ahead of the feed may be newer than the snapshot's revision; all
/// changes up to that revision are contained.
class replica : public ireplica
{
public:
    replica();

    std::shared_ptr<const snapshot> current() const override;
    /// A batch of `changes`. Rows newer than the batch's revision are taken too; a batch of revision 0
    /// carries pushed rows only.
    void apply(const store::row_batch& batch) override;
    void on_change(change_hook hook) override;
    core::time_point confirmed_at() const override;

    /// All rows at the batch's revision: rows that are absent from it are deleted. Ignored when older than
    /// what is held.
    void apply_all(const store::row_batch& batch);
    /// The rows changed after `since` up to the replica's revision; truncated when deletions since then are
    /// no longer known.
    store::row_batch changes_since(std::int64_t since) const;
    /// All rows at the replica's revision.
    store::row_batch all_rows() const;
    /// The feed calls it with the time at which the upstream was known to be current.
    void confirm(core::time_point at);

private:
    using row_map = std::map<std::string, std::shared_ptr<const store::row>, std::less<>>;

    bool is_newer(const row_map& rows, const store::row& candidate) const;
    void set_row(row_map& rows, const store::row& changed);
    void publish(row_map rows, std::int64_t revision, const std::vector<store::row>& changed,
                 std::unique_lock<std::mutex> lock);

    mutable std::mutex mutex_;
    std::shared_ptr<const snapshot> current_;
    /// Revisions at which rows were deleted.
    std::map<std::string, std::int64_t, std::less<>> deletions_;
    /// Deletions after this revision are all known.
    std::int64_t deletions_since_ = 0;
    core::time_point confirmed_at_{};
    std::vector<change_hook> hooks_;
};

} // namespace briarfold::replica
