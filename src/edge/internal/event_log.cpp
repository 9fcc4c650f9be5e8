#include "edge/event_log.hpp"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace briarfold::edge {

namespace {

/// `write_sampled` logs one of this many calls.
constexpr std::uint64_t sample_interval = 64;
/// A pipe that is ready for writing takes at least this many bytes without blocking (PIPE_BUF).
constexpr std::size_t nonblocking_bytes = 4096;
constexpr double ms_per_s = 1000;

} // namespace

event_log::event_log(event_log_settings settings, sink output)
    : settings_(std::move(settings)), output_(std::move(output)), tokens_(settings_.burst_lines),
      refilled_at_(core::clock::now())
{}

bool event_log::take_token()
{
    const auto now = core::clock::now();
    const double gained = static_cast<double>((now - refilled_at_).ms) / ms_per_s * settings_.lines_per_s;
    tokens_ = std::min(settings_.burst_lines, tokens_ + gained);
    refilled_at_ = now;
    if (tokens_ < 1 || buffer_.size() >= settings_.buffer_bytes)
    {
        ++unreported_drops_;
        ++total_drops_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

void event_log::append(const char* event, nlohmann::json fields)
{
    fields["time_ms"] = core::clock::wall().ms;
    fields["node"] = settings_.node;
    fields["event"] = event;
    buffer_ += fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    buffer_ += '\n';
}

void event_log::write(const char* event, nlohmann::json fields)
{
    if (!take_token())
    {
        return;
    }
    if (unreported_drops_ > 0)
    {
        append("lines left out", {{"lines", std::exchange(unreported_drops_, 0)}});
    }
    append(event, std::move(fields));
}

void event_log::write_sampled(const char* event, const std::function<nlohmann::json()>& fields)
{
    if (++sample_calls_ % sample_interval != 1)
    {
        return;
    }
    auto values = fields();
    values["sampled_of"] = sample_interval;
    write(event, std::move(values));
}

void event_log::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size())
    {
        const auto size = std::min(buffer_.size() - written, nonblocking_bytes);
        const auto taken = output_(buffer_.data() + written, size);
        if (taken == 0)
        {
            break;
        }
        written += taken;
    }
    buffer_.erase(0, written);
}

event_log::sink make_descriptor_sink(int descriptor)
{
    return [descriptor](const char* data, std::size_t size) -> std::size_t {
        pollfd ready{descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        {
            return 0;
        }
        const auto written = ::write(descriptor, data, size);
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    };
}

} // namespace briarfold::edge
