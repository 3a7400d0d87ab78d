// A request of the HTTP API with its route, query and body taken apart.
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

// Who sent a request, by the key.
struct principal
{
    enum class role
    {
        none,
        account,
        operations
    };

    role kind = role::none;
    std::string name;
    std::string team; // of an operator; empty for a fleet operator
};

// A request with its route taken apart.
struct api_request
{
    const http_request* http = nullptr;
    std::string id;
    std::vector<std::string> path; // percent-decoded segments
    std::string query;
    principal who;
    time_point received{};

    std::string_view query_value(std::string_view name) const;
};

// A whole number without sign or anything around it.
std::optional<std::uint64_t> parse_number(std::string_view text);

// The percent-decoded segments of a path; throws web::uri_exception when it is not valid.
std::vector<std::string> split_path(const std::string& path);

// The time by which the request must be answered, by its Deadline-Ms header or the fallback.
result<time_point> deadline_of(const api_request& request, milliseconds fallback);

// Parses a body that must be an object with no other keys than the given ones.
result<json> parse_body(const api_request& request, std::initializer_list<std::string_view> keys);

// A member of the body that must be text and not blank.
result<std::string> required_text(const json& body, const std::string& name);

// The query parameter dry_run of a change.
result<bool> is_dry_run(const api_request& request);

} // namespace zinnianotch
