/// Contract edits, their outcomes and the version history.
#pragma once

#include "contracts/contract_version.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace briarfold::contracts {

/// A request to replace version `expected_version` (0: there is no contract yet) with `document`. Idempotent
/// for the same operation id.
struct edit
{
    edit() = default;
    edit(nlohmann::json new_document, std::string author_name, std::int64_t expected, std::string operation)
        : document(std::move(new_document)), author(std::move(author_name)), expected_version(expected),
          operation_id(std::move(operation))
    {}

    nlohmann::json document;
    std::string author;
    std::int64_t expected_version = 0;
    std::string operation_id;
};

enum class edit_status
{
    /// Committed; the result names the new version and its revision.
    applied,
    /// The contract is not at the expected version; the result names the current version.
    conflict,
    /// The store did not answer; repeat the edit with the same operation id.
    unknown
};

std::string to_string(edit_status value);

struct edit_result
{
    edit_result() = default;
    edit_result(edit_status outcome, version_info version, std::int64_t table_revision,
                std::string reason_text = "")
        : status(outcome), info(std::move(version)), revision(table_revision), reason(std::move(reason_text))
    {}

    edit_status status = edit_status::unknown;
    version_info info;
    std::int64_t revision = 0;
    std::string reason;
};

/// One version of a contract with its whole document.
struct history_entry
{
    history_entry() = default;
    history_entry(version_info version, nlohmann::json content)
        : info(std::move(version)), document(std::move(content))
    {}

    version_info info;
    nlohmann::json document;

    bool operator==(const history_entry&) const = default;
};

/// Versions in ascending order. `is_complete` is false if the object store did not answer or the object is
/// missing.
struct version_history
{
    std::vector<history_entry> entries;
    bool is_complete = true;
};

} // namespace briarfold::contracts
