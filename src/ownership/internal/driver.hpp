/// Feeds the state machine with time, packets, calls and rows, and carries out its actions.
#pragma once

#include "ownership/internal/backend_client.hpp"
#include "ownership/internal/machine.hpp"
#include "ownership/internal/map_builder.hpp"
#include "ownership/ownership.hpp"

#include <atomic>

namespace briarfold::ownership {

class ownership::driver : public std::enable_shared_from_this<ownership::driver>
{
public:
    driver(core::asio::any_io_executor executor, surroundings parts);

    void start();
    void stop() { is_stopping_ = true; }

    std::shared_ptr<const iownership_map> map() const { return maps_.current(); }
    void on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook);
    core::duration unchecked_authority(const std::string& server) const;
    core::asio::awaitable<bool> move(slice_move wish);
    core::asio::awaitable<bool> move_here(slice_move wish);
    core::asio::awaitable<void> hand_over_all();
    protocol_counters counters() const;

private:
    using self_pointer = std::shared_ptr<driver>;

    /// Runs `input` on the machine under the lock, then carries out the actions.
    template <class Input>
    auto with_machine(Input input)
    {
        internal::actions produced;
        const auto finish = [&] {
            std::ranges::for_each(produced, [&](internal::action& item) { perform(std::move(item)); });
        };
        if constexpr (std::is_void_v<std::invoke_result_t<Input, internal::machine&, core::time_point>>)
        {
            {
                const std::scoped_lock lock(mutex_);
                input(machine_, core::clock::now());
                produced = machine_.take_actions();
            }
            finish();
        }
        else
        {
            std::unique_lock lock(mutex_);
            auto result = input(machine_, core::clock::now());
            produced = machine_.take_actions();
            lock.unlock();
            finish();
            return result;
        }
    }

    void perform(internal::action item);
    void carry_out(internal::grant_request request);
    void carry_out(internal::commit_request request);
    void carry_out(internal::fence_request request);
    void carry_out(const internal::heartbeat_request& request);
    void carry_out(internal::row_push push);
    void carry_out(const internal::hand_over_request& request);
    void carry_out(const internal::suspicion_report& report);
    void carry_out(internal::liveness_probe probe);
    void carry_out(internal::lifecycle_order order);
    void carry_out(const internal::move_end& end);

    static core::asio::awaitable<void> tick(self_pointer self);
    static core::asio::awaitable<void> exchange(self_pointer self, internal::grant_request request);
    static core::asio::awaitable<void> commit(self_pointer self, internal::commit_request request);
    static core::asio::awaitable<void> fence(self_pointer self, internal::fence_request request);
    static core::asio::awaitable<void> probe(self_pointer self, internal::liveness_probe request);
    static core::asio::awaitable<void> order(self_pointer self, internal::lifecycle_order request);
    static core::asio::awaitable<void> tell(self_pointer self, std::string to, std::string method,
                                            nlohmann::json parameters);

    void register_methods();
    void on_rows(const std::shared_ptr<const replica::snapshot>& current,
                 const std::vector<store::row>& changed);
    void record_commit(const internal::commit_request& request, const store::commit_result& result);
    /// Where the router's peer port is; empty when it has no row.
    std::optional<http::endpoint> peer_of(const std::string& instance_id) const;
    bool has_other_routers() const;

    core::asio::any_io_executor executor_;
    surroundings parts_;
    internal::backend_client backends_;
    internal::map_builder maps_;
    mutable std::mutex mutex_;
    internal::machine machine_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::int64_t> next_wish_{1};
    mutable std::mutex hooks_mutex_;
    std::vector<std::function<void(const std::shared_ptr<const iownership_map>&)>> hooks_;
    std::map<std::int64_t, std::optional<bool>> wishes_;

    struct atomic_counters
    {
        std::atomic<std::uint64_t> grants_sent{0};
        std::atomic<std::uint64_t> grants_accepted{0};
        std::atomic<std::uint64_t> grants_refused{0};
        std::atomic<std::uint64_t> exchange_failures{0};
        std::atomic<std::uint64_t> heartbeats_sent{0};
        std::atomic<std::uint64_t> vouchers_received{0};
        std::atomic<std::uint64_t> commits{0};
        std::atomic<std::uint64_t> conflicts{0};
        std::atomic<std::uint64_t> commit_retries{0};
        std::atomic<std::uint64_t> fences_asked{0};
        std::atomic<std::uint64_t> fences_promised{0};
        std::atomic<std::uint64_t> rows_pushed{0};
    };
    atomic_counters counts_;
};

} // namespace briarfold::ownership
