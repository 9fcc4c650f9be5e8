#include "store/internal/store_json.hpp"

#include "core/json.hpp"
#include "store/itable_store.hpp"

#include <algorithm>
#include <cctype>

namespace briarfold::store::internal {

namespace {

constexpr unsigned char_bits_mask = 0xff;
constexpr unsigned nibble_bits = 4;
constexpr unsigned nibble_mask = 0xf;

template <class Function>
auto checked(Function function)
{
    try
    {
        return function();
    }
    catch (const nlohmann::json::exception& failure)
    {
        throw store_error("read table answer", "", failure.what());
    }
}

} // namespace

nlohmann::json parse_body(std::string_view body)
{
    try
    {
        return core::parse_json(body);
    }
    catch (const core::error& failure)
    {
        throw store_error("read table answer", "", failure.what());
    }
}

row parse_row(const nlohmann::json& value)
{
    return checked([&] {
        return row(value.at("key"), value.at("version"), value.value("revision", std::int64_t{0}),
                   value.value("operation_id", ""), value.value("value", nlohmann::json()));
    });
}

std::vector<row> parse_rows(const nlohmann::json& value)
{
    std::vector<row> rows;
    std::ranges::transform(value, std::back_inserter(rows), parse_row);
    return rows;
}

row_batch parse_batch(const nlohmann::json& value, const char* rows_field)
{
    return checked([&] {
        row_batch batch;
        batch.revision = value.at("revision");
        batch.is_truncated = value.value("truncated", false);
        batch.rows = parse_rows(value.value(rows_field, nlohmann::json::array()));
        return batch;
    });
}

std::string transaction_body(const std::string& operation_id, const std::vector<row_write>& writes)
{
    auto list = nlohmann::json::array();
    for (const auto& write : writes)
    {
        list.push_back(
            {{"key", write.key}, {"expected_version", write.expected_version}, {"value", write.value}});
    }
    const nlohmann::json body = {{"operation_id", operation_id}, {"writes", std::move(list)}};
    return body.dump();
}

std::string url_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view plain = "-_.~/";
    std::string encoded;
    for (const char c : text)
    {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || plain.find(c) != std::string_view::npos)
        {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned>(c) & char_bits_mask;
        encoded += '%';
        encoded += digits[byte >> nibble_bits];
        encoded += digits[byte & nibble_mask];
    }
    return encoded;
}

} // namespace briarfold::store::internal
