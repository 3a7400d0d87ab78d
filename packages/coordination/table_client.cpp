#include "coordination/table_client.h"

#include <cpprest/base_uri.h>

namespace zinnianotch
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;

std::string row_path(const std::string& key)
{
    return "/rows/" + web::uri::encode_data_string(key);
}

failure unavailable(std::string detail)
{
    return not_run(reason::store_unavailable, std::move(detail));
}

} // namespace

result<std::optional<table_row>> table_client::get(const std::string& key, milliseconds timeout)
{
    client_request request;
    request.path = row_path(key);
    result<client_reply> reply = client_.send(request, timeout);
    if (!reply)
    {
        // The pool may hold other connections that stopped responding together with this one.
        client_.reset_connections();
        return unavailable(reply.error().detail);
    }
    if (reply.value().status == status_not_found)
        return std::optional<table_row>();
    if (reply.value().status != status_ok)
        return unavailable("status " + std::to_string(reply.value().status));
    result<json> value = parse_json(reply.value().body);
    if (!value)
        return unavailable("the row is not valid JSON");
    return std::optional<table_row>(
        table_row{key, reply.value().headers["etag"], std::move(value.value())});
}

result<std::vector<table_row>> table_client::list(const std::string& prefix,
                                                  const std::string& after, std::size_t limit,
                                                  milliseconds timeout)
{
    client_request request;
    request.path = "/rows?prefix=" + web::uri::encode_data_string(prefix) +
                   "&after=" + web::uri::encode_data_string(after) +
                   "&limit=" + std::to_string(limit);
    result<client_reply> reply = client_.send(request, timeout);
    if (!reply)
    {
        client_.reset_connections();
        return unavailable(reply.error().detail);
    }
    if (reply.value().status != status_ok)
        return unavailable("status " + std::to_string(reply.value().status));
    result<json> body = parse_json(reply.value().body);
    if (!body || !body.value().is_object() || !body.value().has_array_field("rows"))
        return unavailable("the row listing has no array field rows");
    std::vector<table_row> rows;
    for (const json& element : body.value().at("rows").as_array())
    {
        if (!element.is_object() || !element.has_field("value"))
            return unavailable("a row of the listing has no field value");
        rows.push_back(
            {string_field(element, "key"), string_field(element, "version"), element.at("value")});
    }
    return rows;
}

write_outcome table_client::insert(const std::string& key, const json& value, milliseconds timeout)
{
    return put(key, "If-None-Match", "*", value, timeout);
}

write_outcome table_client::replace(const std::string& key, const std::string& version,
                                    const json& value, milliseconds timeout)
{
    return put(key, "If-Match", version, value, timeout);
}

// A conditional write may be sent twice: the condition of the second copy fails. The caller then
// sees a conflict with its own write and has to compare the token in the row.
write_outcome table_client::put(const std::string& key, const std::string& condition,
                                const std::string& condition_value, const json& value,
                                milliseconds timeout)
{
    client_request request;
    request.method = "PUT";
    request.path = row_path(key);
    request.headers[condition] = condition_value;
    request.body = value.serialize();
    result<client_reply> reply = client_.send(request, timeout);
    if (!reply)
    {
        client_.reset_connections();
        return write_outcome::unknown;
    }
    switch (reply.value().status)
    {
    case status_ok:
    case status_created:
    case status_no_content:
        return write_outcome::written;
    case status_precondition_failed:
        return write_outcome::conflict;
    default:
        return write_outcome::unknown;
    }
}

} // namespace zinnianotch
