/// Errors found while checking a settings file or a contract.
#pragma once

#include "core/error.hpp"

#include <string>
#include <vector>

namespace briarfold::document {

/// One field that was refused. `value` is JSON text, or "absent"; `allowed` describes the accepted values.
struct field_error
{
    std::string field;
    std::string value;
    std::string allowed;

    bool operator==(const field_error&) const = default;
};

/// "requests_per_s = -1: allowed is a number from 0.1 to 1e+07".
std::string to_string(const field_error& value);

/// A document was refused; carries every error in it.
class invalid_document : public core::error
{
public:
    /// `name` is the file or the row that holds the document.
    invalid_document(const std::string& name, std::vector<field_error> errors);

    const std::vector<field_error>& errors() const { return errors_; }

private:
    std::vector<field_error> errors_;
};

} // namespace briarfold::document
