#include "trace/span_recorder.hpp"

#include "core/error.hpp"
#include "trace/otlp.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>

namespace briarfold::trace {

namespace {

constexpr std::chrono::milliseconds write_interval{200};
/// Spans in one line; an OTLP collector limits the size of a message.
constexpr std::size_t spans_per_line = 256;

} // namespace

span_recorder::span_recorder(std::string instance_id, const std::string& file, recorder_limits limits)
    : instance_id_(std::move(instance_id)), limits_(limits), has_file_(!file.empty())
{
    if (!has_file_)
    {
        return;
    }
    if (!std::ofstream(file, std::ios::app))
    {
        throw core::error("open trace file", file, "the file cannot be written");
    }
    writer_ = std::jthread([this, file] { write_loop(file); });
}

span_recorder::~span_recorder()
{
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
    wake_.notify_all();
}

void span_recorder::record(span finished)
{
    const std::scoped_lock lock(mutex_);
    if (has_file_ && finished.context.is_sampled)
    {
        if (queue_.size() < limits_.queued)
        {
            queue_.push_back(finished);
        }
        else
        {
            ++dropped_;
        }
    }
    kept_.push_back(std::move(finished));
    if (kept_.size() > limits_.kept)
    {
        kept_.pop_front();
    }
}

std::vector<span> span_recorder::find(const std::string& request_id) const
{
    const std::scoped_lock lock(mutex_);
    std::vector<span> result;
    std::ranges::copy_if(kept_, std::back_inserter(result),
                         [&request_id](const span& item) { return item.request_id == request_id; });
    return result;
}

std::uint64_t span_recorder::dropped() const
{
    const std::scoped_lock lock(mutex_);
    return dropped_;
}

void span_recorder::write_loop(const std::string& file)
{
    std::ofstream stream(file, std::ios::app);
    std::uint64_t written = 0;
    for (bool is_last = false; !is_last;)
    {
        std::vector<span> batch;
        {
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, write_interval, [this] { return is_stopping_; });
            is_last = is_stopping_;
            batch.swap(queue_);
        }
        for (std::size_t first = 0; first < batch.size(); first += spans_per_line)
        {
            const auto last = std::min(first + spans_per_line, batch.size());
            const auto line = otlp_line(instance_id_, {batch.begin() + static_cast<std::ptrdiff_t>(first),
                                                       batch.begin() + static_cast<std::ptrdiff_t>(last)});
            if (written + line.size() + 1 > limits_.file_bytes || !(stream << line << '\n'))
            {
                const std::scoped_lock lock(mutex_);
                dropped_ += last - first;
                continue;
            }
            written += line.size() + 1;
        }
        stream.flush();
    }
}

} // namespace briarfold::trace
