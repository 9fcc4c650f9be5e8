#include "history/writer.hpp"

#include "core/error.hpp"

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>

namespace briarfold::history {

namespace {

constexpr std::size_t buffer_limit_bytes = 65536;
constexpr std::chrono::milliseconds flush_interval{200};

} // namespace

struct writer::state
{
    void hand_over()
    {
        file.write(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        file.flush();
        buffer.clear();
    }

    std::mutex mutex;
    std::condition_variable_any wake;
    std::string process;
    flush_policy policy = flush_policy::each_line;
    std::ofstream file;
    std::string buffer;
    std::jthread flusher;
};

writer::writer(const std::filesystem::path& path, std::string process, flush_policy policy)
{
    if (path.empty())
    {
        return;
    }
    state_ = std::make_unique<state>();
    state_->process = std::move(process);
    state_->policy = policy;
    state_->file.open(path, std::ios::app);
    if (!state_->file)
    {
        throw core::error("open history", "", "cannot write " + path.string());
    }
    if (policy == flush_policy::buffered)
    {
        state_->flusher = std::jthread([s = state_.get()](const std::stop_token& stop) {
            while (!stop.stop_requested())
            {
                std::unique_lock lock(s->mutex);
                s->wake.wait_for(lock, stop, flush_interval, [] { return false; });
                s->hand_over();
            }
        });
    }
}

writer::~writer()
{
    if (state_ && state_->flusher.joinable())
    {
        state_->flusher.request_stop();
        state_->flusher.join();
    }
    flush();
}

void writer::write(event value)
{
    if (!state_)
    {
        return;
    }
    const std::scoped_lock lock(state_->mutex);
    value.process = state_->process;
    if (value.time == core::time_point{})
    {
        value.time = core::clock::now();
    }
    state_->buffer.append(to_line(value)).append(1, '\n');
    if (state_->policy == flush_policy::each_line || state_->buffer.size() > buffer_limit_bytes)
    {
        state_->hand_over();
    }
}

void writer::flush()
{
    if (!state_)
    {
        return;
    }
    const std::scoped_lock lock(state_->mutex);
    state_->hand_over();
}

} // namespace briarfold::history
