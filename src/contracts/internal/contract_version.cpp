#include "contracts/contract_version.hpp"

#include "core/error.hpp"

namespace briarfold::contracts {

namespace {

std::int64_t integer_or_zero(const nlohmann::json& object, const char* name)
{
    return object.contains(name) && object.at(name).is_number_integer() ? object.at(name).get<std::int64_t>()
                                                                        : 0;
}

std::string text_or_empty(const nlohmann::json& object, const char* name)
{
    return object.contains(name) && object.at(name).is_string() ? object.at(name).get<std::string>() : "";
}

} // namespace

std::string contract_key(const std::string& customer)
{
    return std::string(contract_prefix) + customer;
}

nlohmann::json to_json(const version_info& value)
{
    return {{"version", value.version},
            {"author", value.author},
            {"time_ms", value.time_ms},
            {"operation_id", value.operation_id}};
}

version_info read_info(const store::row& row)
{
    if (!row.value.is_object())
    {
        return {row.version, "", 0, row.operation_id};
    }
    return {row.version, text_or_empty(row.value, "author"), integer_or_zero(row.value, "time_ms"),
            row.operation_id};
}

contract_version parse_row(const store::row& row)
{
    if (!row.value.is_object() || !row.value.contains("document"))
    {
        throw core::error("read contract", row.key, "the row has no document");
    }
    auto document = contract::parse(row.value.at("document"), row.key);
    if (row.key != contract_key(document.customer()))
    {
        throw core::error("read contract", row.key, "the document names customer " + document.customer());
    }
    return {std::move(document), read_info(row), row.revision};
}

} // namespace briarfold::contracts
