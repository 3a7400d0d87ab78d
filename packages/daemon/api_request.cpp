#include "daemon/api_request.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <charconv>

namespace zinnianotch
{

std::string_view api_request::query_value(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty())
    {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
    }
    return {};
}

std::optional<std::uint64_t> parse_unsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || end.ec != std::errc() || end.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> segments;
    for (const std::string& segment : web::uri::split_path(path))
        segments.push_back(web::uri::decode(segment));
    return segments;
}

result<time_point> deadline_of(const api_request& request, milliseconds fallback)
{
    const std::string_view header = request.http->header("deadline-ms");
    if (header.empty())
        return request.received + fallback;
    const std::optional<std::uint64_t> value = parse_unsigned(header);
    if (!value || *value == 0)
        return not_run(reason::bad_request, "Deadline-Ms must be a whole number of at least 1");
    const std::uint64_t capped = std::min<std::uint64_t>(*value, max_deadline.count());
    return request.received + milliseconds(capped);
}

result<json> parse_body(const api_request& request, std::initializer_list<std::string_view> keys)
{
    result<json> body = parse_json(request.http->body);
    if (!body)
        return body;
    if (!body.value().is_object())
        return not_run(reason::bad_request, "the body must be a JSON object");
    for (const auto& field : body.value().as_object())
    {
        if (std::find(keys.begin(), keys.end(), field.first) == keys.end())
            return not_run(reason::bad_request, "unknown key " + field.first);
    }
    return body;
}

result<std::string> required_string_field(const json& body, const std::string& name)
{
    const std::string value = string_field(body, name);
    if (value.find_first_not_of(" \t\r\n") == std::string::npos)
        return not_run(reason::bad_request, name + " is required and must be a non-blank string");
    return value;
}

result<bool> is_dry_run(const api_request& request)
{
    const std::string_view value = request.query_value("dry_run");
    if (value.empty() || value == "false")
        return false;
    if (value == "true")
        return true;
    return not_run(reason::bad_request, "dry_run must be true or false");
}

} // namespace zinnianotch
