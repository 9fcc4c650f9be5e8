/// Grants of one backend server, as kept by its front. Does no I/O and reads no clock: the caller passes the
/// time, the directory entry and the answers, makes the calls and reports the freed keys.
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

/// Call that grants keys to the backend server or takes them back. At most one grant is in flight at a time.
/// Releases may be in flight with it, since they are answered only when the work on their keys has ended.
struct grant_call
{
    call_kind kind = call_kind::grant;
    keyspace::key_range range;
    std::int64_t token = 0;
    core::duration valid_for;
    std::string handover;
    core::time_point sent;
    /// Rises with each call to the backend server, so that a late answer is told from that of a later call.
    std::int64_t sequence = 0;

    bool operator==(const grant_call&) const = default;
};

/// What shows that keys are free.
enum class free_proof
{
    /// The backend server answered their release.
    release,
    /// Another process answered at its address.
    process_end,
    /// The last grant of this front has ended.
    grant_end,
    /// The last grant of this front that may have been applied although it was not answered has ended.
    unanswered_grant_end,
    /// The last grant that an earlier front may have made has ended.
    earlier_front_end,
    /// The last grant at an earlier address of the backend server has ended.
    earlier_address_end
};

const char* to_text(free_proof proof);

/// Keys that no backend server can hold any more, so that they may be granted to another one.
struct freed_keys
{
    keyspace::key_range range;
    /// Token that keeps the keys warm at their next holder; empty if the backend server gave none.
    std::string handover;
    free_proof proof = free_proof::grant_end;

    bool operator==(const freed_keys&) const = default;
};

/// State machine of the grants of one backend server. A key is reported as freed only when every grant of it
/// has ended or was released. A call whose answer was lost may have arrived at any time until its connection
/// was reset, and may still be applied later unless a higher token was accepted since.
class server_grants
{
public:
    /// Grants of earlier fronts count as valid for `entry.prior_grant_remaining` from `now`.
    server_grants(const directory::entry& entry, core::time_point now);

    /// A later `entry.front_token` begins a new term of office: another front may have granted the keys since
    /// this one was assigned, so `entry.prior_grant_remaining` counts again.
    void update(const directory::entry& entry, core::time_point now);

    /// Returns the call to make now and marks it as in flight; nullopt if none is due. `may_grant` is false
    /// while the front must not grant keys, so that only releases are returned.
    std::optional<grant_call> next_call(core::time_point now, bool may_grant, core::duration valid_for);
    void on_granted(const grant_call& call, core::time_point now);
    /// Records that the backend server rejected the call because it has seen a higher token, that of a later
    /// front. Nothing is granted from then on until this front is assigned anew, or until nobody can confirm
    /// this one any more that does not know of the other: a backend server that restarts forgets the token.
    void on_superseded(const grant_call& call, core::time_point now);
    void on_released(const grant_call& call, const std::string& handover, core::time_point now);
    /// Records that the call was not sent because no connection was open.
    void on_not_sent(const grant_call& call, core::time_point now);
    /// Delays all calls after the backend server did not accept a connection.
    void pause(core::time_point now);
    /// Records that a connection for the next grants was opened in place of a closed one. It may lead to
    /// another process, which knows no tokens and needs a later one.
    void on_connected();
    /// Records that the backend server does not hold the key, so that it may be another process.
    void on_key_missing(std::uint32_t key, core::time_point now);
    /// Records that the process ended to which this front made its grants at the present address. Grants of
    /// earlier fronts and at other addresses count as before.
    void on_ended(core::time_point now);
    /// Records that the call got no answer and that its connection was reset at `now`, or that its answer may
    /// be that of an earlier process.
    void on_lost(const grant_call& call, core::time_point now);

    /// Returns whether work with this key may be sent now.
    bool may_send(std::uint32_t key, core::time_point now) const;
    /// Returns whether the key is or will be granted to the backend server and is not being withdrawn.
    bool is_assigned(std::uint32_t key) const;
    std::vector<freed_keys> freed(core::time_point now) const;
    /// Returns whether few tokens are left below those of the next front, so that the leader should assign
    /// new ones.
    bool is_short_of_tokens() const;
    /// Returns when the next call is due, at most one renewal interval after `now`.
    core::time_point next_due(core::time_point now) const;

private:
    enum class release_state
    {
        none,
        pending,
        in_flight,
        done
    };

    struct range_state
    {
        keyspace::key_range range;
        bool is_granted = false;
        /// Whether a grant was accepted in this term of office, so that the backend server rejects the grants
        /// of earlier fronts.
        bool is_fenced = false;
        /// Whether a grant is in flight, so that the backend server may get the keys at any moment.
        bool is_in_flight = false;
        core::time_point renewed;
        core::time_point valid_until;
        /// Latest end of any grant of this front that was accepted.
        core::time_point latest_end;
        /// Latest end of the grants of earlier fronts.
        core::time_point prior_end;
        /// Latest end of the grants of this front at earlier addresses of the backend server.
        core::time_point elsewhere_end;
        /// Latest end of the grants whose answer was lost and that no accepted higher token has made void.
        core::time_point unanswered_latest_end;
        /// When a release or the end of the process ended all grants that were known then.
        core::time_point ended_at;
        bool has_process_ended = false;
        std::string handover;
        release_state release = release_state::none;
        /// Sequence of the release that is or was in flight. Only its answer shows that the keys are free: an
        /// earlier release may be answered after a later grant.
        std::int64_t release_sequence = 0;
        core::time_point retry_at;
    };

    void split_at(const keyspace::key_range& range);
    void merge_adjacent();
    void add_missing_ranges(const directory::entry& entry, core::time_point prior_end);
    void update_prior_grants(const directory::entry& entry, core::time_point now);
    /// Has all keys granted again, since a new process of the backend server holds none. Earlier grants count
    /// until they end or are released.
    void on_restarted(core::time_point now);
    range_state* find(const keyspace::key_range& range);
    static core::time_point free_from(const range_state& item);
    static free_proof find_proof(const range_state& item);
    /// Whether a grant should be made so that the backend server rejects those of earlier fronts, also of
    /// keys that are to be released: otherwise they are free only when the earlier grants have ended.
    static bool may_fence(const range_state& item, core::time_point now);
    static bool is_current_release(const range_state& item, const grant_call& call);
    /// Marks the grant of these keys as no longer in flight, whatever its outcome.
    void clear_in_flight(const keyspace::key_range& range);

    std::int64_t start_time_ms_ = 0;
    http::endpoint address_;
    /// When the backend server was registered at the address; none for the first one.
    core::time_point address_since_;
    std::int64_t token_base_ = 0;
    std::int64_t front_token_ = 0;
    std::int64_t token_step_ = 0;
    core::time_point superseded_until_;
    std::int64_t last_sequence_ = 0;
    std::vector<range_state> ranges_;
};

} // namespace briarfold::grants
