#include "routing/internal/request_check.hpp"

#include "core/ids.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace briarfold::routing::internal {

namespace {

constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_service_bytes = 64;
constexpr std::string_view customer_header = "X-Briarfold-Customer";
constexpr std::string_view key_header = "X-Briarfold-Key";
constexpr std::string_view id_header = "X-Request-Id";
constexpr std::string_view deadline_header = "X-Briarfold-Deadline-Ms";
constexpr std::string_view idempotent_header = "X-Briarfold-Idempotent";
constexpr std::string_view trace_header = "traceparent";
constexpr core::duration retry_after_uncertain{1000};

refusal bad_request(std::string_view step, std::string reason)
{
    return refusal(status::bad_request, std::string(step), std::move(reason));
}

bool is_name(std::string_view text, std::size_t limit)
{
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= limit && std::ranges::all_of(text, is_allowed);
}

/// Accepts only visible ASCII, so that the id is the same text in every header, log and history.
bool is_request_id(std::string_view text)
{
    constexpr char first_visible = '!';
    constexpr char last_visible = '~';
    return !text.empty() && text.size() <= max_id_bytes &&
           std::ranges::all_of(text, [](char c) { return c >= first_visible && c <= last_visible; });
}

std::optional<refusal> read_target(const std::string& target, wire::forward_request& request)
{
    if (target.size() < 2 || target.front() != '/')
    {
        return bad_request("target", "the target is not /<service>/<rest>");
    }
    const auto end = std::min(target.find_first_of("/?", 1), target.size());
    request.service = target.substr(1, end - 1);
    request.target = target.substr(end);
    if (!is_name(request.service, max_service_bytes))
    {
        return bad_request("target", "invalid service name in the target");
    }
    if (request.target.empty() || request.target.front() == '?')
    {
        request.target.insert(0, "/");
    }
    return std::nullopt;
}

std::optional<refusal> read_names(const std::vector<http::header>& headers, wire::forward_request& request)
{
    const auto id = http::find_header(headers, id_header);
    const bool has_id = http::has_header(headers, id_header);
    request.request_id = is_request_id(id) ? std::string(id) : core::make_id("req");
    if (has_id && !is_request_id(id))
    {
        return bad_request("request id", "X-Request-Id is not 1 to 128 visible ASCII characters");
    }
    request.customer = http::find_header(headers, customer_header);
    if (!is_name(request.customer, max_id_bytes))
    {
        return bad_request("customer", "X-Briarfold-Customer is absent or not a name");
    }
    request.key = http::find_header(headers, key_header);
    if (request.key.empty() || request.key.size() > max_key_bytes)
    {
        return bad_request("key", "X-Briarfold-Key is absent or not 1 to 256 bytes");
    }
    return std::nullopt;
}

std::optional<refusal> read_deadline(const std::vector<http::header>& headers, const customer_terms& terms,
                                     wire::forward_request& request)
{
    request.deadline = terms.default_deadline;
    if (!http::has_header(headers, deadline_header))
    {
        return std::nullopt;
    }
    const auto text = http::find_header(headers, deadline_header);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), request.deadline.ms);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || request.deadline.ms < 1 ||
        request.deadline > terms.max_deadline)
    {
        return bad_request("deadline",
                           "X-Briarfold-Deadline-Ms is not 1 to " + std::to_string(terms.max_deadline.ms));
    }
    return std::nullopt;
}

std::optional<refusal> read_idempotence(const std::vector<http::header>& headers, const customer_terms& terms,
                                        wire::forward_request& request)
{
    if (!http::has_header(headers, idempotent_header))
    {
        request.is_idempotent = terms.is_idempotent(request.method);
        return std::nullopt;
    }
    const auto text = http::find_header(headers, idempotent_header);
    if (text != "true" && text != "false")
    {
        return bad_request("idempotent", "X-Briarfold-Idempotent is neither true nor false");
    }
    request.is_idempotent = text == "true";
    return std::nullopt;
}

/// Headers that are not forwarded: the routers interpret them, or they apply to one connection only.
bool is_stripped_header(std::string_view name)
{
    constexpr std::array stripped = {customer_header,
                                     key_header,
                                     id_header,
                                     deadline_header,
                                     idempotent_header,
                                     trace_header,
                                     std::string_view("Host"),
                                     std::string_view("Connection"),
                                     std::string_view("Keep-Alive"),
                                     std::string_view("Content-Length"),
                                     std::string_view("Transfer-Encoding"),
                                     std::string_view("Upgrade"),
                                     std::string_view("TE"),
                                     std::string_view("Trailer"),
                                     std::string_view("Expect")};
    return std::ranges::any_of(stripped,
                               [&](std::string_view item) { return http::equal_ignoring_case(item, name); });
}

std::optional<refusal> read_terms(const std::vector<http::header>& headers, const routing_hooks& hooks,
                                  wire::forward_request& request)
{
    const auto found = find_terms(hooks, request.customer);
    if (!found.terms && !found.is_certain)
    {
        return refusal(status::unavailable, "contract", "contracts are not loaded yet",
                       retry_after_uncertain);
    }
    if (!found.terms)
    {
        return refusal(status::forbidden, "contract", "unknown customer");
    }
    if (!found.terms->allows(request.service))
    {
        return refusal(status::forbidden, "contract", "the contract does not include the service");
    }
    if (auto error = read_deadline(headers, *found.terms, request))
    {
        return error;
    }
    return read_idempotence(headers, *found.terms, request);
}

} // namespace

checked_request check_request(http::request&& message, const routing_hooks& hooks)
{
    checked_request result;
    auto& request = result.request;
    result.error = read_names(message.headers, request);
    if (!result.error)
    {
        result.error = read_target(message.target, request);
    }
    request.method = std::move(message.method);
    if (!result.error)
    {
        result.error = read_terms(message.headers, hooks, request);
    }
    if (result.error)
    {
        return result;
    }
    request.traceparent = http::find_header(message.headers, trace_header);
    std::erase_if(message.headers, [](const http::header& item) { return is_stripped_header(item.name); });
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    return result;
}

} // namespace briarfold::routing::internal
