#include "document/field_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace briarfold::document {

namespace {

std::string join(const std::vector<std::string>& parts, const std::string& separator)
{
    return fmt::format("{}", fmt::join(parts, separator));
}

bool is_printable(char character)
{
    return character > ' ' && character < '\x7f';
}

} // namespace

std::string to_string(const field_error& value)
{
    return value.field + " = " + value.value + ": allowed is " + value.allowed;
}

invalid_document::invalid_document(const std::string& name, std::vector<field_error> errors)
    : core::error("check document", name,
                  [&errors] {
                      std::vector<std::string> lines;
                      std::ranges::transform(errors, std::back_inserter(lines),
                                             [](const auto& item) { return to_string(item); });
                      return join(lines, "; ");
                  }()),
      errors_(std::move(errors))
{}

text_rule name_rule(std::size_t longest)
{
    return {fmt::format("1 to {} characters out of a-z, 0-9, '-', '_' and '.'", longest),
            [longest](const std::string& value) {
                return !value.empty() && value.size() <= longest &&
                       value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") ==
                           std::string::npos;
            }};
}

text_rule token_rule(std::size_t shortest, std::size_t longest)
{
    return {fmt::format("{} to {} printable characters without spaces", shortest, longest),
            [shortest, longest](const std::string& value) {
                return value.size() >= shortest && value.size() <= longest &&
                       std::ranges::all_of(value, is_printable);
            }};
}

text_rule choice_rule(const std::vector<std::string>& choices)
{
    return {"one of " + join(choices, ", "),
            [choices](const std::string& value) { return std::ranges::count(choices, value) > 0; }};
}

text_rule any_text_rule(std::size_t longest)
{
    return {fmt::format("at most {} characters", longest),
            [longest](const std::string& value) { return value.size() <= longest; }};
}

field_reader::field_reader(const nlohmann::json& object) : object_(object)
{
    if (!object.is_object())
    {
        add_error("(document)", object.dump(), "an object");
    }
}

const nlohmann::json* field_reader::find(const std::string& name, const std::string& allowed,
                                         bool has_fallback)
{
    known_.insert(name);
    if (object_.is_object() && object_.contains(name))
    {
        return &object_.at(name);
    }
    if (!has_fallback)
    {
        add_error(name, "absent", allowed);
    }
    return nullptr;
}

std::string field_reader::text(const std::string& name, const text_rule& rule,
                               const std::optional<std::string>& fallback)
{
    const auto* value = find(name, rule.description, fallback.has_value());
    if (value == nullptr)
    {
        return fallback.value_or("");
    }
    if (!value->is_string() || !rule.accepts(value->get<std::string>()))
    {
        add_error(name, value->dump(), rule.description);
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

std::string field_reader::secret(const std::string& name, const text_rule& rule)
{
    const auto* value = find(name, rule.description, false);
    if (value == nullptr)
    {
        return "";
    }
    if (!value->is_string() || !rule.accepts(value->get<std::string>()))
    {
        add_error(name, "(not shown)", rule.description);
        return "";
    }
    return value->get<std::string>();
}

std::vector<std::string> field_reader::texts(const std::string& name, const text_rule& rule,
                                             std::size_t least,
                                             const std::optional<std::vector<std::string>>& fallback)
{
    const auto allowed =
        fmt::format("a list of at least {} different texts, each {}", least, rule.description);
    const auto* value = find(name, allowed, fallback.has_value());
    if (value == nullptr)
    {
        return fallback.value_or(std::vector<std::string>{});
    }
    const bool is_text_list =
        value->is_array() && std::ranges::all_of(*value, [&rule](const nlohmann::json& item) {
            return item.is_string() && rule.accepts(item.get<std::string>());
        });
    if (!is_text_list || value->size() < least)
    {
        add_error(name, value->dump(), allowed);
        return {};
    }
    auto items = value->get<std::vector<std::string>>();
    if (std::set<std::string>(items.begin(), items.end()).size() != items.size())
    {
        add_error(name, value->dump(), allowed);
    }
    return items;
}

std::int64_t field_reader::integer(const std::string& name, std::int64_t least, std::int64_t most,
                                   std::optional<std::int64_t> fallback)
{
    const auto allowed = fmt::format("an integer from {} to {}", least, most);
    const auto* value = find(name, allowed, fallback.has_value());
    if (value == nullptr)
    {
        return fallback.value_or(0);
    }
    const bool is_in_range = value->is_number_integer() &&
                             !(value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX) &&
                             value->get<std::int64_t>() >= least && value->get<std::int64_t>() <= most;
    if (!is_in_range)
    {
        add_error(name, value->dump(), allowed);
        return fallback.value_or(0);
    }
    return value->get<std::int64_t>();
}

double field_reader::number(const std::string& name, double least, double most,
                            std::optional<double> fallback)
{
    const auto allowed = fmt::format("a number from {} to {}", least, most);
    const auto* value = find(name, allowed, fallback.has_value());
    if (value == nullptr)
    {
        return fallback.value_or(0);
    }
    if (!value->is_number() || !(value->get<double>() >= least && value->get<double>() <= most))
    {
        add_error(name, value->dump(), allowed);
        return fallback.value_or(0);
    }
    return value->get<double>();
}

bool field_reader::boolean(const std::string& name, std::optional<bool> fallback)
{
    const std::string allowed = "true or false";
    const auto* value = find(name, allowed, fallback.has_value());
    if (value == nullptr)
    {
        return fallback.value_or(false);
    }
    if (!value->is_boolean())
    {
        add_error(name, value->dump(), allowed);
        return fallback.value_or(false);
    }
    return value->get<bool>();
}

void field_reader::add_error(const std::string& name, const std::string& value, const std::string& allowed)
{
    errors_.push_back({name, value, allowed});
}

void field_reader::finish(const std::string& document_name)
{
    if (object_.is_object())
    {
        for (const auto& [name, value] : object_.items())
        {
            if (!known_.contains(name))
            {
                // The value of an unknown field may be a misspelt token, so it is not shown.
                add_error(name, "(unknown field)", "one of " + join({known_.begin(), known_.end()}, ", "));
            }
        }
    }
    if (!errors_.empty())
    {
        throw invalid_document(document_name, errors_);
    }
}

} // namespace briarfold::document
