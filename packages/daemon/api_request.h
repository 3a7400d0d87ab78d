// Parsed request of the HTTP API, and helpers that read its path, query, headers and body.
#pragma once

#include "protocol/codec.h"
#include "state/time.h"
#include "state/verdict.h"
#include "transport/http_server.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// Sender of a request, authenticated by the API key.
struct principal
{
    enum class role
    {
        none,    // no API key or an unknown one
        account, // client account, may use /v1
        admin    // operator, may use /admin/v1
    };

    role kind = role::none;
    std::string name; // of the client account or operator
    std::string team; // of an operator; empty for a fleet operator
};

struct api_request
{
    const http_request* http = nullptr;
    std::string id;
    std::vector<std::string> path; // percent-decoded segments
    std::string query;             // not decoded, without the question mark
    principal identity;
    time_point received{};

    // Value of the first query parameter of this name, not decoded; empty when absent.
    std::string_view query_value(std::string_view name) const;
};

// Parses a decimal number; nullopt when the text has a sign or any other character, or when the
// value needs more than 64 bits.
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

// Percent-decoded segments of a path. Throws web::uri_exception on invalid percent-encoding.
std::vector<std::string> split_path(const std::string& path);

inline constexpr milliseconds max_deadline{60000};

// Time by which the request must be answered: its Deadline-Ms header, at most max_deadline, or else
// the fallback, counted from the receipt of the request. Fails with bad_request on an invalid
// header.
result<time_point> deadline_of(const api_request& request, milliseconds fallback);

// Parses the body, which must be a JSON object with no keys other than the given ones.
result<json> parse_body(const api_request& request, std::initializer_list<std::string_view> keys);

// Field of the body that must be a string and not blank; fails with bad_request.
result<std::string> required_string_field(const json& body, const std::string& name);

// Query parameter dry_run, false when absent. Fails with bad_request on values other than true and
// false.
result<bool> is_dry_run(const api_request& request);

} // namespace zinnianotch
