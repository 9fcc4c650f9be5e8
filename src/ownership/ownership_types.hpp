/// Slices of the hash space and the table row of a backend server.
#pragma once

#include "http/http_types.hpp"

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace briarfold::ownership {

/// An inclusive range of the 64-bit hash space. A slice of one value isolates a hot key.
struct slice
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    constexpr bool contains(std::uint64_t hash) const { return first <= hash && hash <= last; }
    auto operator<=>(const slice&) const = default;
};

/// Returns "first-last", 16 hex digits each.
std::string to_string(const slice& value);
/// Throws core::error when the text is malformed or the first value is greater than the last.
slice parse_slice(const std::string& text);

enum class intent
{
    joining,
    active,
    leaving,
    stopped,
    lost
};

std::string to_string(intent value);
/// Throws core::error for an unknown name.
intent parse_intent(const std::string& text);

/// A former controller whose grants are not yet known to have ended.
struct predecessor
{
    std::string controller;
    std::vector<std::string> witnesses;
    std::int64_t epoch = 0;

    bool operator==(const predecessor&) const = default;
};

/// The value of the row `backend-server/<id>`.
struct backend_server
{
    std::string id;
    std::string service;
    http::endpoint address;
    std::string zone;
    int slots = 1;
    int connections = 1;
    bool checks_grants = true;
    ownership::intent intent = intent::joining;
    std::string incarnation;
    std::int64_t epoch = 0;
    std::string controller;
    std::vector<std::string> witnesses;
    std::vector<predecessor> predecessors;
    std::vector<slice> slices;
    std::int64_t slices_version = 0;

    bool operator==(const backend_server&) const = default;
};

nlohmann::json to_json(const backend_server& value);
/// Throws core::error naming the row and the field.
backend_server parse_backend_server(const nlohmann::json& value);

} // namespace briarfold::ownership
