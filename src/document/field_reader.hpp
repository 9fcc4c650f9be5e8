/// Reads the fields of a JSON object and collects every error instead of stopping at the first.
#pragma once

#include "document/document_types.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace briarfold::document {

/// Accepted texts: `accepts` decides, `description` names them in errors.
struct text_rule
{
    std::string description;
    std::function<bool(const std::string&)> accepts;
};

/// 1 to `longest` characters out of a-z, 0-9, `-`, `_` and `.`.
text_rule name_rule(std::size_t longest);
/// `shortest` to `longest` printable characters without spaces.
text_rule token_rule(std::size_t shortest, std::size_t longest);
text_rule choice_rule(const std::vector<std::string>& choices);
text_rule any_text_rule(std::size_t longest);

/// Reads the fields of one object. A field without a fallback is required. A refused field yields its
/// fallback or a zero value, and an entry in `errors()`.
class field_reader
{
public:
    explicit field_reader(const nlohmann::json& object);

    std::string text(const std::string& name, const text_rule& rule,
                     const std::optional<std::string>& fallback = std::nullopt);
    /// A text whose value must not appear in errors.
    std::string secret(const std::string& name, const text_rule& rule);
    std::vector<std::string> texts(const std::string& name, const text_rule& rule, std::size_t least,
                                   const std::optional<std::vector<std::string>>& fallback = std::nullopt);
    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(const std::string& name, double least, double most,
                  std::optional<double> fallback = std::nullopt);
    bool boolean(const std::string& name, std::optional<bool> fallback = std::nullopt);

    /// Accepts a field that is checked elsewhere.
    void allow(const std::string& name) { known_.insert(name); }
    /// For checks across fields.
    void add_error(const std::string& name, const std::string& value, const std::string& allowed);
    /// Adds an error for each field that was never asked for, then throws invalid_document when there are
    /// any errors.
    void finish(const std::string& document_name);

private:
    /// Null when the field is absent, which is an error unless there is a fallback.
    const nlohmann::json* find(const std::string& name, const std::string& allowed, bool has_fallback);

    const nlohmann::json& object_;
    std::set<std::string> known_;
    std::vector<field_error> errors_;
};

} // namespace briarfold::document
