#include "apps/router/logging.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace briarfold::router {

namespace {

/// Formats the message as a JSON string, so that the line stays valid when it contains quotes or line feeds.
class json_message_flag : public spdlog::custom_flag_formatter
{
public:
    void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& line) override
    {
        const auto text = nlohmann::json(std::string(message.payload.begin(), message.payload.end()))
                              .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        line.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return std::make_unique<json_message_flag>();
    }
};

} // namespace

void set_up_logging(const std::string& format, const std::string& level, const std::string& instance_id)
{
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    if (format == "json")
    {
        formatter->add_flag<json_message_flag>('*').set_pattern(
            R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","instance":")" + instance_id +
            R"(","message":%*})");
    }
    else
    {
        formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l " + instance_id + " %v");
    }
    spdlog::set_formatter(std::move(formatter));
    spdlog::set_level(spdlog::level::from_str(level));
    spdlog::flush_on(spdlog::level::info);
}

} // namespace briarfold::router
