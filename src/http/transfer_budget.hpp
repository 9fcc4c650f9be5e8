/// Memory of a process for the messages that it reads, works on and writes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace briarfold::http {

/// Bounds the bytes of all messages in flight together. When they exceed the limit, the largest message that
/// can be given up is given up, so that a peer that sends too much loses its own message and not those of
/// others. Small messages, and one large message beside small ones, may exceed the limit up to
/// `reserve_bytes`, so that neither a large request that is alone nor the small ones beside it are refused.
/// Not thread-safe: all calls on the executor's thread.
class transfer_budget
{
public:
    /// Without `reserve_bytes`, no message exceeds the limit.
    explicit transfer_budget(std::size_t limit_bytes, std::size_t reserve_bytes = 0)
        : limit_bytes_(limit_bytes), reserve_bytes_(reserve_bytes)
    {}
    ~transfer_budget() = default;
    transfer_budget(const transfer_budget&) = delete;
    transfer_budget& operator=(const transfer_budget&) = delete;

    std::size_t held_bytes() const { return held_bytes_; }
    std::size_t peak_bytes() const { return peak_bytes_; }
    /// Messages given up because of the limit.
    std::uint64_t given_up() const { return given_up_; }

private:
    friend class held_message;

    /// Whether the limit may be exceeded, although no message larger than this one can be given up.
    bool has_reserve_for(std::size_t message_bytes) const;

    std::size_t limit_bytes_;
    std::size_t reserve_bytes_;
    std::size_t held_bytes_ = 0;
    std::size_t peak_bytes_ = 0;
    std::uint64_t given_up_ = 0;
    std::set<class held_message*> messages_;
};

/// The part of the budget that one message takes, until its destruction. Without a budget it has no limit.
class held_message
{
public:
    /// `give_up` ends the work on the message at once; without it, only the message itself fails, when it
    /// grows. It is called at most once and must not destroy this object.
    explicit held_message(std::shared_ptr<transfer_budget> budget, std::function<void()> give_up = {});
    ~held_message();
    held_message(const held_message&) = delete;
    held_message& operator=(const held_message&) = delete;

    /// Sets the bytes of the message. Returns false if it has to be given up now; its bytes then no longer
    /// count.
    bool resize(std::size_t bytes);
    /// Sets the bytes of memory that cannot be given up, such as the buffers of a connection that many
    /// messages share. Others are given up for its growth.
    void count(std::size_t bytes);
    /// The message is no longer given up for the growth of another one.
    void keep() { give_up_ = {}; }
    bool is_given_up() const { return is_given_up_; }

private:
    held_message* find_largest();
    void give_up();
    void set_bytes(std::size_t bytes);

    std::shared_ptr<transfer_budget> budget_;
    std::function<void()> give_up_;
    std::size_t bytes_ = 0;
    bool is_given_up_ = false;
};

} // namespace briarfold::http
