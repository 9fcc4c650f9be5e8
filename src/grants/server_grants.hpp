/// The grants of one backend server, as its front keeps them. Pure: time, entries and answers come in, calls
/// and freed keys go out.
#pragma once

#include "directory/directory_types.hpp"
#include "grants/grant_timing.hpp"

#include <optional>
#include <string>
#include <vector>

namespace briarfold::grants {

enum class call_kind
{
    grant,
    release
};

/// One call to the backend server. At most one grant is under way at a time; releases run beside it, since
/// they are answered only when the work on their keys has ended.
struct grant_call
{
    call_kind kind = call_kind::grant;
    keyspace::key_range range;
    std::int64_t token = 0;
    core::duration valid_for;
    std::string handover;
    core::time_point sent;

    bool operator==(const grant_call&) const = default;
};

/// Keys that no backend server can hold any more, so that they may be granted elsewhere.
struct freed_keys
{
    keyspace::key_range range;
    /// Keeps the keys warm at their next holder; empty when the backend server did not give one.
    std::string handover;

    bool operator==(const freed_keys&) const = default;
};

/// Invariants: a key is reported as freed only when every grant of it has ended or was released; a call whose
/// answer was lost counts as arrived until its connection was reset, and may be applied later unless a higher
/// token was accepted since.
class server_grants
{
public:
    /// `entry.prior_grant_remaining` bounds what earlier fronts may have granted.
    server_grants(const directory::entry& entry, core::time_point now);

    void update(const directory::entry& entry, core::time_point now);

    /// The call to make now. `may_grant` is false while the front has no authority for new grants.
    std::optional<grant_call> next_call(core::time_point now, bool may_grant, core::duration length);
    void on_granted(const grant_call& call, core::time_point now);
    /// The backend server has seen a higher token.
    void on_superseded(const grant_call& call, core::time_point now);
    void on_released(const grant_call& call, const std::string& handover, core::time_point now);
    /// The call was not sent: no connection was open.
    void on_not_sent(const grant_call& call, core::time_point now);
    /// No call can be made now: the backend server accepts no connection.
    void pause(core::time_point now);
    /// No answer: the connection was reset at `now`.
    void on_lost(const grant_call& call, core::time_point now);

    /// Whether work with this key may be sent now.
    bool may_send(std::uint32_t key, core::time_point now) const;
    /// Whether the key is or will be granted here, and is not being taken away.
    bool is_assigned(std::uint32_t key) const;
    std::vector<freed_keys> freed(core::time_point now) const;
    /// When the next call is due.
    core::time_point next_due(core::time_point now) const;

private:
    enum class release_state
    {
        none,
        wanted,
        under_way,
        done
    };

    struct piece
    {
        keyspace::key_range range;
        bool is_granted = false;
        /// A grant is on its way, so the keys may be held at any moment.
        bool is_under_way = false;
        core::time_point renewed;
        core::time_point valid_until;
        /// Latest end of any accepted grant, those of earlier fronts included.
        core::time_point bound;
        /// Latest end of grants whose answer was lost and which no accepted higher token has voided.
        core::time_point unanswered_bound;
        std::string handover;
        release_state release = release_state::none;
        core::time_point retry_at;
    };

    void split_at(const keyspace::key_range& range);
    void merge();
    void add_pieces(const directory::entry& entry, core::time_point bound);
    piece* find(const keyspace::key_range& range);
    static core::time_point free_at(const piece& item);
    /// The grant under way for these keys has ended one way or another.
    void end_call(const keyspace::key_range& range);

    std::int64_t start_time_ms_ = 0;
    std::int64_t token_base_ = 0;
    std::int64_t token_step_ = 0;
    std::vector<piece> pieces_;
};

} // namespace briarfold::grants
