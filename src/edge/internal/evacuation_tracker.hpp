#pragma once

#include "edge/event_log.hpp"
#include "routes/evacuations.hpp"

#include <functional>
#include <utility>

namespace briarfold::edge::internal {

/// Keeps the evacuations that this router knows of up to date with rows of the store and messages of other
/// routers, and logs the changes. Not thread-safe.
class evacuation_tracker
{
public:
    /// `key_prefix` is that of the rows; the name of the zone follows it.
    evacuation_tracker(event_log& log, std::string key_prefix) : log_(log), key_prefix_(std::move(key_prefix))
    {}

    /// Sets the function that is called after each change.
    void set_change_hook(std::function<void()> hook) { on_change_ = std::move(hook); }
    const std::string& key_prefix() const { return key_prefix_; }
    bool is_evacuation_row(const store::row& row) const { return row.key.starts_with(key_prefix_); }
    /// Takes the evacuations among the rows of the feed, deletions included.
    void apply_changes(const store::row_batch& batch);
    /// Takes a read of all rows with the prefix. Zones without a row are returned.
    void apply_all(const store::row_batch& batch);
    /// Takes the state that a message of another router holds, if any.
    void apply_message(const nlohmann::json& message, const std::string& source);
    /// Adds the state to a message to another router.
    void add_to(nlohmann::json& message) const;

    const routes::evacuations& known() const { return known_; }
    /// Number of changes so far.
    std::int64_t changes() const { return changes_; }
    /// Number of malformed rows and messages so far.
    std::int64_t malformed() const { return malformed_; }

private:
    /// Returns the zone that the row names, or an empty text for a malformed one.
    std::string read_zone(const store::row& row);
    void note_changes(const std::set<std::string>& zones, const std::string& source);

    event_log& log_;
    std::string key_prefix_;
    std::function<void()> on_change_;
    routes::evacuations known_;
    std::int64_t changes_ = 0;
    std::int64_t malformed_ = 0;
    bool has_read_all_ = false;
};

} // namespace briarfold::edge::internal
