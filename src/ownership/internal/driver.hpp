/// Feeds the state machine with time, packets, calls and rows, and executes its actions.
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
    driver(core::asio::any_io_executor executor, ownership_dependencies dependencies);

    void start();
    void stop() { is_stopping_ = true; }

    std::shared_ptr<const iownership_map> map() const { return maps_.current(); }
    void on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook);
    core::duration unchecked_authority(const std::string& server) const;
    core::asio::awaitable<bool> move(slice_move request);
    core::asio::awaitable<bool> move_locally(slice_move request);
    core::asio::awaitable<void> hand_over_all();
    protocol_counters counters() const;

private:
    using self_pointer = std::shared_ptr<driver>;

    /// Runs `input` on the machine under the lock, then executes the actions without the lock.
    template <class Input>
    auto with_machine(Input input)
    {
        internal::actions produced;
        const auto execute_actions = [&] {
            std::ranges::for_each(produced, [&](internal::action& item) { dispatch(std::move(item)); });
        };
        if constexpr (std::is_void_v<std::invoke_result_t<Input, internal::machine&, core::time_point>>)
        {
            {
                const std::scoped_lock lock(mutex_);
                input(machine_, core::clock::now());
                produced = machine_.take_actions();
            }
            execute_actions();
        }
        else
        {
            std::unique_lock lock(mutex_);
            auto result = input(machine_, core::clock::now());
            produced = machine_.take_actions();
            lock.unlock();
            execute_actions();
            return result;
        }
    }

    void dispatch(internal::action item);
    void execute(internal::grant_request request);
    void execute(internal::commit_request request);
    void execute(internal::fence_request request);
    void execute(const internal::heartbeat_request& request);
    void execute(internal::row_push push);
    void execute(const internal::hand_over_request& request);
    void execute(const internal::suspicion_report& report);
    void execute(internal::liveness_probe probe);
    void execute(internal::lifecycle_order order);
    void execute(const internal::move_end& end);

    static core::asio::awaitable<void> tick(self_pointer self);
    static core::asio::awaitable<void> exchange(self_pointer self, internal::grant_request request);
    static core::asio::awaitable<void> commit(self_pointer self, internal::commit_request request);
    static core::asio::awaitable<void> fence(self_pointer self, internal::fence_request request);
    static core::asio::awaitable<void> probe(self_pointer self, internal::liveness_probe request);
    static core::asio::awaitable<void> send_lifecycle_order(self_pointer self,
                                                            internal::lifecycle_order request);
    static core::asio::awaitable<void> notify_peer(self_pointer self, std::string to, std::string method,
                                                   nlohmann::json parameters);

    void register_methods();
    void on_rows(const std::shared_ptr<const replica::snapshot>& current,
                 const std::vector<store::row>& changed);
    void record_commit(const internal::commit_request& request, const store::commit_result& result);
    /// Returns the endpoint of the router's peer port; empty when it has no row.
    std::optional<http::endpoint> find_peer(const std::string& instance_id) const;
    bool has_other_routers() const;

    core::asio::any_io_executor executor_;
    ownership_dependencies dependencies_;
    internal::backend_client backends_;
    internal::map_builder maps_;
    mutable std::mutex mutex_;
    internal::machine machine_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::int64_t> next_move_id_{1};
    mutable std::mutex hooks_mutex_;
    std::vector<std::function<void(const std::shared_ptr<const iownership_map>&)>> hooks_;
    std::map<std::int64_t, std::optional<bool>> move_results_;

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
        std::atomic<std::uint64_t> fences_requested{0};
        std::atomic<std::uint64_t> fences_promised{0};
        std::atomic<std::uint64_t> rows_pushed{0};
    };
    atomic_counters counts_;
};

} // namespace briarfold::ownership
