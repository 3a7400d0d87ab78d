#include "daemon/api.h"

#include "coordination/random_id.h"
#include "protocol/codec.h"
#include "protocol/config_diff.h"
#include "transport/log.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace zinnianotch
{

namespace
{

constexpr milliseconds max_deadline{60000};
constexpr milliseconds service_deadline{5000};
constexpr milliseconds admin_deadline{10000};
constexpr milliseconds store_timeout{1000};
constexpr std::size_t max_key_length = 128;
constexpr std::size_t max_history = 100;
constexpr std::size_t default_history = 20;
constexpr std::string_view json_type = "application/json";
constexpr std::string_view lines_type = "application/x-ndjson";
constexpr std::string_view text_type = "text/plain; version=0.0.4";
constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_unavailable = 503;

// Compares without an early end, so that the time tells nothing of a key.
bool equal_secret(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        const char other = right.empty() ? '\0' : right[i % right.size()];
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
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
    const std::optional<std::uint64_t> value = parse_number(header);
    if (!value || *value == 0)
        return not_run(reason::bad_request, "Deadline-Ms must be a whole number of at least 1");
    const std::uint64_t capped = std::min<std::uint64_t>(*value, max_deadline.count());
    return request.received + milliseconds(capped);
}

// Parses a body that must be an object with no other keys than the given ones.
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

result<std::string> required_text(const json& body, const std::string& name)
{
    const std::string value = string_field(body, name);
    if (value.find_first_not_of(" \t\r\n") == std::string::npos)
        return not_run(reason::bad_request, name + " is required and must be text");
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

bool is_valid_order_key(std::string_view key)
{
    if (key.empty() || key.size() > max_key_length)
        return false;
    return std::all_of(key.begin(), key.end(),
                       [](unsigned char c) {
                           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '~' ||
                                  c == '-';
                       });
}

// Identifies what an order asks for. The key's second use must ask for the same.
std::string order_digest(const std::string& service, const std::string& operation,
                         const std::string& body)
{
    constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ULL;
    constexpr std::uint64_t fnv_prime = 1099511628211ULL;
    std::uint64_t hash = fnv_offset_basis;
    for (const char byte : body)
    {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnv_prime;
    }
    return service + "/" + operation + "/" + std::to_string(body.size()) + "/" +
           std::to_string(hash);
}

json token_line(std::uint32_t index, const std::string& text)
{
    json line = json::object();
    line["type"] = json(std::string("token"));
    line["index"] = json(index);
    line["text"] = json(text);
    return line;
}

json end_line(const pipeline_result& done, std::uint32_t tokens)
{
    json stages = json::array(done.stages.size());
    for (std::size_t i = 0; i < done.stages.size(); ++i)
    {
        const stage_report& report = done.stages[i];
        json stage = json::object();
        stage["name"] = json(report.stage);
        stage["endpoint"] = json(report.endpoint);
        stage["attempts"] = json(report.attempts);
        stage["ms"] = json::number(static_cast<std::int64_t>(report.elapsed.count() / 1000));
        stages[i] = stage;
    }
    json line = json::object();
    line["type"] = json(std::string("end"));
    line["tokens"] = json(tokens);
    line["stages"] = stages;
    return line;
}

json error_line(const failure& why, const std::string& request)
{
    json line = json::object();
    line["type"] = json(std::string("error"));
    line["reason"] = json(std::string(to_string(why.why)));
    line["verdict"] = json(std::string(to_string(why.outcome)));
    line["message"] = json(why.detail);
    line["request"] = json(request);
    return line;
}

json text_list(const std::vector<std::string>& lines)
{
    json list = json::array(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
        list[i] = json(lines[i]);
    return list;
}

// Keeps the author of exceptions that did not change; others were made by this operator.
void set_authors(const configuration& before, configuration& after, const std::string& author)
{
    for (exception_config& exception : after.exceptions)
    {
        exception.author = author;
        for (const exception_config& old_one : before.exceptions)
        {
            const bool same = old_one.id == exception.id && old_one.target == exception.target &&
                              old_one.setting == exception.setting &&
                              old_one.value == exception.value &&
                              old_one.reason == exception.reason;
            if (same)
                exception.author = old_one.author;
        }
    }
}

failure configuration_conflict(std::uint64_t in_effect)
{
    failure why =
        not_run(reason::version_conflict, "the version in effect is " + std::to_string(in_effect));
    why.current_version = in_effect;
    return why;
}

json peer_status(const peer_info& peer, time_point now)
{
    json out = json::object();
    out["vm"] = json(peer.last.vm.name);
    out["failure_domain"] = json(peer.last.domain);
    out["address"] = json(peer.last.address);
    out["state"] = json(std::string(to_string(peer.last.state)));
    out["reachable"] = json(now - peer.heard <= peer_timeout);
    out["configuration_version"] = json::number(peer.last.config_version);
    return out;
}

} // namespace

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

api::api(const settings& config, node& vm)
    : settings_(config), node_(vm), in_flight_([] { return std::size_t{0}; }),
      request_prefix_(config.vm + "-" + random_id().substr(0, 8) + "-")
{
}

void api::handle(const http_request& request, http_response& response)
{
    api_request parsed;
    parsed.http = &request;
    parsed.id = new_request_id();
    parsed.received = steady_clock::now();
    const std::size_t question = request.target.find('?');
    if (question != std::string::npos)
        parsed.query = request.target.substr(question + 1);
    try
    {
        parsed.path = split_path(request.target.substr(0, question));
    }
    catch (const web::uri_exception&)
    {
        send_error(parsed, response, not_run(reason::bad_request, "the path is not valid"));
        return;
    }
    parsed.who = identify(request);
    node_.counters().count("requests");
    route(parsed, response);
}

std::string api::overloaded_body()
{
    node_.counters().count_refusal(reason::overloaded, verdict::not_run);
    return error_body(not_run(reason::overloaded, "the queue of this VM is full"),
                      new_request_id());
}

principal api::identify(const http_request& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    std::string_view value = request.header("authorization");
    if (!value.starts_with(scheme))
        return {};
    value.remove_prefix(scheme.size());
    principal who;
    for (const account_key& entry : settings_.accounts)
    {
        if (equal_secret(value, entry.key))
            who = {principal::role::account, entry.account, {}};
    }
    for (const operator_key& entry : settings_.operators)
    {
        if (equal_secret(value, entry.key))
            who = {principal::role::operations, entry.name, entry.team};
    }
    return who;
}

std::string api::new_request_id()
{
    return request_prefix_ + std::to_string(next_request_.fetch_add(1));
}

void api::route(const api_request& request, http_response& response)
{
    const std::string& method = request.http->method;
    const std::vector<std::string>& path = request.path;
    if (path.size() == 1 && method == "GET" && path[0] == "healthz")
    {
        response.send(status_ok, json_type, R"({"status":"ok"})");
        return;
    }
    if (path.size() == 1 && method == "GET" && path[0] == "readyz")
    {
        if (node_.is_ready())
            response.send(status_ok, json_type, R"({"status":"ready"})");
        else
            send_error(
                request, response,
                not_run(node_.state() == vm_state::draining ? reason::draining : reason::not_ready,
                        "this VM takes no new requests"));
        return;
    }
    if (path.size() == 1 && method == "GET" && path[0] == "metrics")
    {
        node_.counters().set_gauge("requests_in_flight", static_cast<std::int64_t>(in_flight_()));
        node_.counters().set_gauge("config_version",
                                   static_cast<std::int64_t>(node_.config().version()));
        node_.counters().set_gauge("order_records_pending",
                                   static_cast<std::int64_t>(node_.orders().pending()));
        response.send(status_ok, text_type, node_.counters().scrape());
        return;
    }
    const bool is_admin = path.size() > 2 && path[0] == "admin" && path[1] == "v1";
    const bool is_caller = path.size() > 1 && path[0] == "v1";
    if (!is_admin && !is_caller)
        return send_error(request, response, not_run(reason::not_found, "no such route"));
    if (request.who.kind == principal::role::none)
        return send_error(request, response, not_run(reason::unauthorized, "a key is required"));
    const auto wanted = is_admin ? principal::role::operations : principal::role::account;
    if (request.who.kind != wanted)
        return send_error(request, response,
                          not_run(reason::forbidden, "the key does not allow this"));
    if (is_admin)
        return route_admin(request, response);
    if (method == "POST" && path.size() == 3 && path[1] == "pipelines")
        return run_pipeline(request, response);
    if (method == "POST" && path.size() == 4 && path[1] == "services")
        return call_service(request, response);
    if (method == "GET" && path.size() == 3 && path[1] == "orders")
        return get_order(request, response);
    send_error(request, response, not_run(reason::not_found, "no such route"));
}

void api::route_admin(const api_request& request, http_response& response)
{
    const std::string& method = request.http->method;
    const std::vector<std::string> path(request.path.begin() + 2, request.path.end());
    if (path == std::vector<std::string>{"config"} && method == "GET")
        return get_config(request, response);
    if (path == std::vector<std::string>{"config"} && method == "PUT")
        return put_config(request, response);
    if (path == std::vector<std::string>{"config", "history"} && method == "GET")
        return get_history(request, response);
    if (path.size() == 2 && path[0] == "domains" && method == "PUT")
        return put_domain(request, response);
    if (path == std::vector<std::string>{"exceptions"} && method == "POST")
        return post_exception(request, response);
    if (path.size() == 2 && path[0] == "exceptions" && method == "DELETE")
        return delete_exception(request, response);
    if (path == std::vector<std::string>{"status"} && method == "GET")
        return get_status(request, response);
    if (path.size() == 3 && path[0] == "orders" && method == "POST")
        return settle_order(request, response);
    send_error(request, response, not_run(reason::not_found, "no such route"));
}

result<const account_config*> api::account_of(const api_request& request,
                                              const configuration& config) const
{
    if (config.version == 0)
        return not_run(reason::not_ready, "this VM has no configuration yet");
    const account_config* account = find_account(config, request.who.name);
    if (account == nullptr)
        return not_run(reason::forbidden, "the account is not part of the configuration");
    return account;
}

void api::run_pipeline(const api_request& request, http_response& response)
{
    const configuration_ptr config = node_.config().current();
    result<const account_config*> account = account_of(request, *config);
    if (!account)
        return send_error(request, response, account.error());
    const pipeline_config* pipeline = find_pipeline(*config, request.path[2]);
    if (pipeline == nullptr)
        return send_error(request, response, not_run(reason::not_found, "no such pipeline"));
    result<json> body = parse_body(request, {"input"});
    if (!body)
        return send_error(request, response, body.error());
    if (!body.value().has_string_field("input"))
        return send_error(request, response,
                          not_run(reason::bad_request, "input is required and must be text"));
    result<time_point> deadline = deadline_of(request, pipeline->deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());

    pipeline_request run;
    run.id = request.id;
    run.account = account.value()->name;
    run.priority = account.value()->priority;
    run.input = string_field(body.value(), "input");
    run.deadline = deadline.value();
    run.cancelled = response.cancelled();

    bool streaming = false;
    std::uint32_t sent = 0;
    const auto start_stream = [&]
    {
        if (!streaming)
            response.start_stream(status_ok, lines_type, {{"Request-Id", request.id}});
        streaming = true;
    };
    const auto on_tokens = [&](std::uint32_t first, const std::vector<std::string>& items)
    {
        start_stream();
        std::string lines;
        for (std::size_t i = 0; i < items.size(); ++i)
            lines += token_line(first + static_cast<std::uint32_t>(i), items[i]).serialize() + "\n";
        sent = first + static_cast<std::uint32_t>(items.size());
        return response.write(lines);
    };
    result<pipeline_result> done = node_.run_pipeline(*pipeline, config, run, on_tokens);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - request.received);
    log_event(log_level::info, "pipeline",
              {{"request", request.id},
               {"account", run.account},
               {"pipeline", pipeline->name},
               {"result", done ? "done" : std::string(to_string(done.error().why))},
               {"tokens", std::to_string(sent)},
               {"ms", std::to_string(elapsed.count())}});
    if (!done && !streaming)
        return send_error(request, response, done.error());
    if (!done)
    {
        node_.counters().count_refusal(done.error().why, done.error().outcome);
        if (response.write(error_line(done.error(), request.id).serialize() + "\n"))
            response.finish();
        else
            response.abort();
        return;
    }
    const bool in_time = steady_clock::now() <= run.deadline;
    node_.counters().count(in_time ? "pipelines_in_time" : "pipelines_late");
    // A pipeline without a generation stage answers with one token, the last stage's output.
    if (pipeline->stages.back().kind != stage_kind::generation)
        on_tokens(0, {done.value().output});
    start_stream();
    if (response.write(end_line(done.value(), sent).serialize() + "\n"))
        response.finish();
}

void api::call_service(const api_request& request, http_response& response)
{
    const configuration_ptr config = node_.config().current();
    result<const account_config*> account = account_of(request, *config);
    if (!account)
        return send_error(request, response, account.error());
    const service_config* service = find_service(*config, request.path[2]);
    const operation_config* operation =
        service == nullptr ? nullptr : find_operation(*service, request.path[3]);
    if (operation == nullptr)
        return send_error(request, response,
                          not_run(reason::not_found, "no such service or operation"));
    result<json> body = parse_json(request.http->body);
    if (!body)
        return send_error(request, response, body.error());
    result<time_point> deadline = deadline_of(request, service_deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());
    if (!operation->idempotent)
        return place_order(request, response, *service, *operation, config, deadline.value());

    pipeline_request call;
    call.id = request.id;
    call.account = account.value()->name;
    call.input = request.http->body;
    call.deadline = deadline.value();
    result<stage_output> output = node_.call_service(*service, *operation, config, call);
    if (!output)
        return send_error(request, response, output.error());
    response.send(static_cast<int>(output.value().status), json_type,
                  std::move(output.value().output),
                  {{"Request-Id", request.id}, {"Answer-From", "service"}});
}

void api::place_order(const api_request& request, http_response& response,
                      const service_config& service, const operation_config& operation,
                      const configuration_ptr& config, time_point deadline)
{
    const std::string key(request.http->header("idempotency-key"));
    if (!is_valid_order_key(key))
        return send_error(
            request, response,
            not_run(reason::idempotency_key_required, "a valid Idempotency-Key is required"));
    order_request order;
    order.id = request.id;
    order.account = request.who.name;
    order.key = key;
    order.digest = order_digest(service.name, operation.name, request.http->body);
    order.deadline = deadline;

    pipeline_request call;
    call.id = request.id;
    call.account = request.who.name;
    call.input = request.http->body;
    call.deadline = deadline;
    const auto make_call = [&]() -> result<service_answer>
    {
        result<stage_output> output = node_.call_service(service, operation, config, call);
        if (!output)
            return output.error();
        return service_answer{static_cast<int>(output.value().status),
                              std::move(output.value().output)};
    };
    result<order_answer> answer = node_.orders().place(order, make_call);
    log_event(log_level::info, "order",
              {{"request", request.id},
               {"account", order.account},
               {"key", key},
               {"service", service.name},
               {"operation", operation.name},
               {"result", answer ? (answer.value().replayed ? "replayed" : "ran")
                                 : std::string(to_string(answer.error().outcome))},
               {"reason", answer ? "" : std::string(to_string(answer.error().why))}});
    if (!answer)
        return send_error(request, response, answer.error());
    headers extra = {{"Request-Id", request.id}, {"Answer-From", "service"}};
    if (answer.value().replayed)
        extra["Replayed"] = "true";
    response.send(answer.value().status, json_type, std::move(answer.value().body), extra);
}

void api::get_order(const api_request& request, http_response& response)
{
    const std::string& key = request.path[2];
    if (!is_valid_order_key(key))
        return send_error(request, response, not_run(reason::not_found, "no order with this key"));
    result<order_record> record = node_.orders().find(request.who.name, key, store_timeout);
    if (!record)
    {
        failure why = record.error();
        if (why.why == reason::order_store_unavailable)
            why.why = reason::store_unavailable;
        return send_error(request, response, why);
    }
    json body = json::object();
    body["key"] = json(key);
    body["state"] = json(std::string(to_string(record.value().state)));
    if (record.value().state == order_state::ran)
    {
        body["status"] = json(record.value().status);
        body["answer"] = json(record.value().answer);
    }
    send_json(request, response, body);
}

void api::get_config(const api_request& request, http_response& response)
{
    const configuration_ptr config = node_.config().current();
    json body = write_configuration(*config);
    body["version"] = json::number(config->version);
    body["author"] = json(config->author);
    send_json(request, response, body, {{"ETag", "\"" + std::to_string(config->version) + "\""}});
}

void api::put_config(const api_request& request, http_response& response)
{
    result<time_point> deadline = deadline_of(request, admin_deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());
    result<bool> dry_run = is_dry_run(request);
    if (!dry_run)
        return send_error(request, response, dry_run.error());
    std::string_view condition = request.http->header("if-match");
    if (condition.size() >= 2 && condition.front() == '"' && condition.back() == '"')
        condition = condition.substr(1, condition.size() - 2);
    const std::optional<std::uint64_t> expected = parse_number(condition);
    if (!expected)
        return send_error(request, response,
                          not_run(reason::bad_request, "If-Match must name a version in quotes"));
    result<json> body = parse_json(request.http->body);
    if (!body)
        return send_error(request, response, body.error());
    result<configuration> parsed = parse_configuration(body.value());
    if (!parsed)
        return send_error(request, response, parsed.error());

    node_.config().poll(store_timeout);
    const configuration_ptr before = node_.config().current();
    if (before->version != *expected)
        return send_error(request, response, configuration_conflict(before->version));
    result<json> answer = write_change(request, *before, std::move(parsed.value()), {},
                                       dry_run.value(), deadline.value());
    if (!answer)
        return send_error(request, response, answer.error());
    send_json(request, response, answer.value());
}

void api::get_history(const api_request& request, http_response& response)
{
    std::size_t limit = default_history;
    const std::string_view wanted = request.query_value("limit");
    if (!wanted.empty())
    {
        const std::optional<std::uint64_t> number = parse_number(wanted);
        if (!number || *number < 1 || *number > max_history)
            return send_error(request, response,
                              not_run(reason::bad_request, "limit must be from 1 to 100"));
        limit = static_cast<std::size_t>(*number);
    }
    result<std::vector<table_row>> rows = node_.config().history(limit, store_timeout);
    if (!rows)
        return send_error(request, response, rows.error());
    json versions = json::array(rows.value().size());
    for (std::size_t i = 0; i < rows.value().size(); ++i)
    {
        const table_row& row = rows.value()[i];
        json entry = json::object();
        entry["version"] = json::number(configuration_version(row.key));
        result<configuration_row> parsed = parse_configuration_row(row.value);
        if (parsed)
        {
            entry["author"] = json(parsed.value().author);
            entry["reason"] = json(parsed.value().reason);
            entry["changes"] = text_list(parsed.value().changes);
        }
        versions[i] = entry;
    }
    json body = json::object();
    body["versions"] = versions;
    send_json(request, response, body);
}

void api::put_domain(const api_request& request, http_response& response)
{
    result<json> body = parse_body(request, {"state", "reason"});
    if (!body)
        return send_error(request, response, body.error());
    const std::string state = string_field(body.value(), "state");
    if (state != "in" && state != "out")
        return send_error(request, response,
                          not_run(reason::bad_request, "state must be in or out"));
    result<std::string> why = required_text(body.value(), "reason");
    if (!why)
        return send_error(request, response, why.error());
    const std::string id = request.path[3];
    edit change;
    change.reason = why.value();
    change.apply = [id, out = state == "out"](configuration& config) -> result<void>
    {
        for (domain_config& domain : config.domains)
        {
            if (domain.id != id)
                continue;
            domain.out = out;
            return outcome::success();
        }
        return not_run(reason::not_found, "no such failure domain");
    };
    change_config(request, response, change);
}

void api::post_exception(const api_request& request, http_response& response)
{
    result<json> body = parse_body(request, {"target", "setting", "value", "reason"});
    if (!body)
        return send_error(request, response, body.error());
    exception_config added;
    added.id = "ex-" + random_id();
    for (auto [name, field] :
         {std::pair{"target", &added.target}, std::pair{"setting", &added.setting},
          std::pair{"reason", &added.reason}})
    {
        result<std::string> text = required_text(body.value(), name);
        if (!text)
            return send_error(request, response, text.error());
        *field = text.value();
    }
    const std::int64_t value = integer_field(body.value(), "value", -1);
    if (value < 0 || value > std::numeric_limits<std::uint32_t>::max())
        return send_error(request, response,
                          not_run(reason::bad_request, "value must be a whole number"));
    added.value = static_cast<std::uint32_t>(value);
    added.author = request.who.name;
    edit change;
    change.reason = added.reason;
    change.exception_id = added.id;
    change.apply = [added](configuration& config) -> result<void>
    {
        config.exceptions.push_back(added);
        return outcome::success();
    };
    change_config(request, response, change);
}

void api::delete_exception(const api_request& request, http_response& response)
{
    const std::string id = request.path[3];
    edit change;
    change.reason = "exception " + id + " ended";
    change.apply = [id](configuration& config) -> result<void>
    {
        const auto removed = std::erase_if(config.exceptions, [&](const exception_config& one)
                                           { return one.id == id; });
        if (removed == 0)
            return not_run(reason::not_found, "no such exception");
        return outcome::success();
    };
    change_config(request, response, change);
}

void api::change_config(const api_request& request, http_response& response, const edit& change)
{
    result<time_point> deadline = deadline_of(request, admin_deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());
    result<bool> dry_run = is_dry_run(request);
    if (!dry_run)
        return send_error(request, response, dry_run.error());
    for (;;)
    {
        // The edit applies to the newest version that the table holds.
        node_.config().poll(store_timeout);
        const configuration_ptr before = node_.config().current();
        configuration after = *before;
        result<void> applied = change.apply(after);
        if (!applied)
            return send_error(request, response, applied.error());
        result<json> answer = write_change(request, *before, std::move(after), change.reason,
                                           dry_run.value(), deadline.value());
        if (answer)
        {
            if (!change.exception_id.empty())
                answer.value()["id"] = json(change.exception_id);
            return send_json(request, response, answer.value());
        }
        const bool lost_race = answer.error().why == reason::version_conflict;
        if (!lost_race || steady_clock::now() >= deadline.value())
            return send_error(request, response, answer.error());
    }
}

// Checks rights and validity of a new configuration and writes it as the next version.
result<json> api::write_change(const api_request& request, const configuration& before,
                               configuration after, const std::string& note, bool dry_run,
                               time_point deadline)
{
    set_authors(before, after, request.who.name);
    const std::vector<config_difference> differences = compare(before, after);
    result<void> allowed = check_rights(before, after, differences, request.who.team);
    if (!allowed)
        return allowed.error();
    const std::vector<std::string> problems = validate(after);
    if (!problems.empty())
    {
        std::string lines;
        for (const std::string& problem : problems)
            lines += (lines.empty() ? "" : "\n") + problem;
        return not_run(reason::invalid_configuration, lines);
    }
    configuration_row row;
    row.token = random_id();
    row.author = request.who.name;
    row.reason = note;
    row.document = write_configuration(after);
    for (const config_difference& difference : differences)
        row.changes.push_back(difference.text);

    json answer = json::object();
    answer["dry_run"] = json(dry_run);
    answer["changes"] = text_list(row.changes);
    answer["version"] = json::number(before.version + 1);
    if (row.changes.empty())
        answer["version"] = json::number(before.version);
    if (dry_run || row.changes.empty())
        return answer;

    result<config_change> changed = node_.config().change(before.version, row, deadline);
    if (!changed)
    {
        failure why = changed.error();
        if (why.outcome == verdict::may_have_run)
            why.why = reason::deadline_exceeded;
        return why;
    }
    if (changed.value().conflict)
        return configuration_conflict(changed.value().version);
    log_event(log_level::info, "config_accepted",
              {{"request", request.id},
               {"version", std::to_string(changed.value().version)},
               {"author", request.who.name},
               {"reason", note}});
    return answer;
}

void api::get_status(const api_request& request, http_response& response)
{
    const time_point now = steady_clock::now();
    const configuration_ptr config = node_.config().current();
    membership& members = node_.members();
    const domain_view view = members.view();

    json vm = json::object();
    vm["name"] = json(settings_.vm);
    vm["incarnation"] = json(std::to_string(members.self().incarnation));
    vm["failure_domain"] = json(settings_.failure_domain);
    vm["state"] = json(std::string(to_string(node_.state())));
    vm["in_flight"] = json::number(static_cast<std::uint64_t>(in_flight_()));

    json in_effect = json::object();
    in_effect["version"] = json::number(config->version);
    in_effect["author"] = json(config->author);

    std::vector<std::string> names;
    for (const view_member& member : view.members)
        names.push_back(member.id.name);
    std::vector<std::string> former;
    for (const view_member& member : view.former)
        former.push_back(member.id.name);
    json view_part = json::object();
    view_part["version"] = json::number(view.version);
    view_part["authority_current"] = json(members.has_current_authority(now));
    view_part["members"] = text_list(names);
    view_part["former"] = text_list(former);

    const std::vector<peer_info> peers = members.known_peers();
    json peer_list = json::array(peers.size());
    for (std::size_t i = 0; i < peers.size(); ++i)
        peer_list[i] = peer_status(peers[i], now);

    json endpoints = json::array();
    std::size_t index = 0;
    for (const pool_config& pool : config->pools)
    {
        for (const endpoint_config& endpoint : pool.endpoints)
        {
            const endpoint_summary summary = node_.loads().summary_of(endpoint.id, now);
            json entry = json::object();
            entry["id"] = json(endpoint.id);
            entry["pool"] = json(pool.name);
            entry["failure_domain"] = json(endpoint.domain);
            const bool own_domain = endpoint.domain == settings_.failure_domain;
            const view_member* owner = own_domain ? owner_of(view, endpoint.id) : nullptr;
            entry["owner"] = json(owner == nullptr ? std::string() : owner->id.name);
            entry["phase"] = json(summary.known ? std::string(to_string(summary.phase))
                                                : std::string("unknown"));
            entry["in_flight"] = json(summary.in_flight);
            entry["limit"] = json(summary.limit);
            endpoints[index++] = entry;
        }
    }

    json refusals = json::object();
    json retries = json::object();
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        const auto why = static_cast<reason>(i);
        const std::string name(to_string(why));
        if (node_.counters().refusals(why) > 0)
            refusals[name] = json::number(node_.counters().refusals(why));
        if (node_.counters().retries(why) > 0)
            retries[name] = json::number(node_.counters().retries(why));
    }
    json body = json::object();
    body["vm"] = vm;
    body["configuration"] = in_effect;
    body["view"] = view_part;
    body["peers"] = peer_list;
    body["endpoints"] = endpoints;
    body["refusals"] = refusals;
    body["retries"] = retries;
    send_json(request, response, body);
}

void api::settle_order(const api_request& request, http_response& response)
{
    if (!request.who.team.empty())
        return send_error(request, response,
                          not_run(reason::forbidden, "only fleet operators settle orders"));
    result<json> body = parse_body(request, {"state", "reason"});
    if (!body)
        return send_error(request, response, body.error());
    order_state state = order_state::started;
    if (!from_string(string_field(body.value(), "state"), state) || state == order_state::started)
        return send_error(request, response,
                          not_run(reason::bad_request, "state must be ran or not_run"));
    result<std::string> why = required_text(body.value(), "reason");
    if (!why)
        return send_error(request, response, why.error());
    result<bool> dry_run = is_dry_run(request);
    if (!dry_run)
        return send_error(request, response, dry_run.error());
    json note = json::object();
    note["settled_by"] = json(request.who.name);
    note["reason"] = json(why.value());
    const std::string& account = request.path[3];
    const std::string& key = request.path[4];
    result<order_state> previous = node_.orders().settle(account, key, state, note.serialize(),
                                                         dry_run.value(), store_timeout);
    if (!previous)
        return send_error(request, response, previous.error());
    log_event(log_level::info, "order_settled",
              {{"request", request.id},
               {"operator", request.who.name},
               {"account", account},
               {"key", key},
               {"state", std::string(to_string(state))},
               {"dry_run", dry_run.value() ? "true" : "false"}});
    json answer = json::object();
    answer["account"] = json(account);
    answer["key"] = json(key);
    answer["state"] = json(std::string(to_string(state)));
    answer["previous_state"] = json(std::string(to_string(previous.value())));
    answer["dry_run"] = json(dry_run.value());
    send_json(request, response, answer);
}

void api::send_error(const api_request& request, http_response& response, const failure& why,
                     headers extra)
{
    node_.counters().count_refusal(why.why, why.outcome);
    const int status = http_status(why.why);
    extra["Request-Id"] = request.id;
    if (status == status_unavailable)
        extra["Retry-After"] = "1";
    if (status == status_unauthorized)
        extra["WWW-Authenticate"] = "Bearer";
    log_event(log_level::info, "refused",
              {{"request", request.id},
               {"reason", std::string(to_string(why.why))},
               {"verdict", std::string(to_string(why.outcome))},
               {"detail", why.detail}});
    response.send(status, json_type, error_body(why, request.id), extra);
}

void api::send_json(const api_request& request, http_response& response, const json& body,
                    headers extra)
{
    extra["Request-Id"] = request.id;
    response.send(status_ok, json_type, body.serialize(), extra);
}

} // namespace zinnianotch
