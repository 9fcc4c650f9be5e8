/// Grants as a backend server keeps them: nonces, epochs and slices, by its own clock only.
#pragma once

#include "core/clock.hpp"
#include "ownership/ownership_types.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace briarfold::standins {

struct grant_order
{
    std::int64_t epoch = 0;
    std::string nonce;
    core::duration duration;
    std::string controller;
    std::int64_t slices_version = 0;
    std::optional<std::vector<ownership::slice>> slices;
};

/// When work may go on: the uninterrupted series of grants in which it was admitted.
using grant_series = std::uint64_t;

/// Not thread-safe. Times are passed in, so that the caller decides on one time for a whole step.
class grant_state
{
public:
    /// Returns an empty text when the order was accepted, else the reason of the refusal.
    std::string apply(const grant_order& order, core::time_point now);
    /// A new nonce, issued now.
    std::string issue_nonce(core::time_point now);
    /// Gives up all slices at once.
    void release();

    bool is_in_effect(core::time_point now) const { return now < valid_until_; }
    bool covers(std::uint64_t hash, core::time_point now) const;
    /// Work on `hash` admitted in `series` may apply its effect: the grant covers it, or it is being drained
    /// and the grant never lapsed in between.
    bool permits_effect(std::uint64_t hash, grant_series series, core::time_point now) const;

    grant_series series() const { return series_; }
    std::int64_t epoch() const { return epoch_; }
    std::int64_t slices_version() const { return slices_version_; }
    core::time_point valid_until() const { return valid_until_; }
    const std::vector<ownership::slice>& slices() const { return slices_; }

private:
    struct nonce
    {
        std::string id;
        core::time_point issued;
    };

    std::optional<core::time_point> take_nonce(const std::string& id, core::time_point now);

    std::deque<nonce> nonces_;
    std::int64_t epoch_ = 0;
    std::int64_t slices_version_ = 0;
    std::vector<ownership::slice> slices_;
    core::time_point valid_until_;
    grant_series series_ = 0;
};

} // namespace briarfold::standins
