#include "daemon/api.h"

#include "coordination/random_id.h"
#include "protocol/codec.h"
#include "state/hash.h"
#include "transport/log.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <cctype>
#include <optional>

namespace zinnianotch
{

namespace
{

constexpr milliseconds default_service_deadline{5000};
constexpr milliseconds store_timeout{1000};
constexpr std::size_t max_order_key_length = 128;
constexpr std::string_view json_content_type = "application/json";
constexpr std::string_view ndjson_content_type = "application/x-ndjson";
constexpr std::string_view prometheus_content_type = "text/plain; version=0.0.4";
constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_unavailable = 503;

// Does not stop at the first difference, so that the response time reveals nothing about a key.
bool constant_time_equal(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        const char other = right.empty() ? '\0' : right[i % right.size()];
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

bool is_valid_order_key(std::string_view key)
{
    if (key.empty() || key.size() > max_order_key_length)
        return false;
    return std::all_of(key.begin(), key.end(),
                       [](unsigned char c) {
                           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '~' ||
                                  c == '-';
                       });
}

// Fingerprint of the operation and body of an order. A request that reuses an idempotency key must
// have the same fingerprint.
std::string order_digest(const std::string& service, const std::string& operation,
                         const std::string& body)
{
    const std::uint64_t hash = fnv_1a(fnv_offset_basis, body);
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

json error_line(const failure& error, const std::string& request)
{
    json line = json::object();
    line["type"] = json(std::string("error"));
    line["reason"] = json(std::string(to_string(error.why)));
    line["verdict"] = json(std::string(to_string(error.outcome)));
    line["message"] = json(error.detail);
    line["request"] = json(request);
    return line;
}

// Counts in `count` while it exists.
class counted_scope
{
public:
    explicit counted_scope(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
    ~counted_scope() { --count_; }

    counted_scope(const counted_scope&) = delete;
    counted_scope& operator=(const counted_scope&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

} // namespace

api::api(const settings& config, node& vm)
    : settings_(config), node_(vm), in_flight_callback_([] { return std::size_t{0}; }),
      request_id_prefix_(config.vm + "-" + random_id().substr(0, 8) + "-")
{
}

void api::handle(const http_request& request, http_response& response)
{
    api_request parsed;
    parsed.http = &request;
    parsed.id = new_request_id();
    parsed.received = steady_clock::now();
    const std::size_t query_start = request.target.find('?');
    if (query_start != std::string::npos)
        parsed.query = request.target.substr(query_start + 1);
    try
    {
        parsed.path = split_path(request.target.substr(0, query_start));
    }
    catch (const web::uri_exception&)
    {
        send_error(parsed, response,
                   not_run(reason::bad_request, "the request path has invalid percent-encoding"));
        return;
    }
    parsed.identity = identify(request);
    node_.counters().count("requests_total");
    route(parsed, response);
}

std::string api::overloaded_body()
{
    node_.counters().count_refusal(reason::overloaded, verdict::not_run);
    return error_body(not_run(reason::overloaded, "the request queue of this VM is full"),
                      new_request_id());
}

principal api::identify(const http_request& request) const
{
    constexpr std::string_view scheme = "Bearer ";
    std::string_view value = request.header("authorization");
    if (!value.starts_with(scheme))
        return {};
    value.remove_prefix(scheme.size());
    principal identity;
    for (const account_key& entry : settings_.accounts)
    {
        if (constant_time_equal(value, entry.key))
            identity = {principal::role::account, entry.account, {}};
    }
    for (const operator_key& entry : settings_.operators)
    {
        if (constant_time_equal(value, entry.key))
            identity = {principal::role::admin, entry.name, entry.team};
    }
    return identity;
}

std::string api::new_request_id()
{
    return request_id_prefix_ + std::to_string(next_request_number_.fetch_add(1));
}

void api::route(const api_request& request, http_response& response)
{
    const std::string& method = request.http->method;
    const std::vector<std::string>& path = request.path;
    if (path.size() == 1 && method == "GET" && path[0] == "healthz")
    {
        response.send(status_ok, json_content_type, R"({"status":"ok"})");
        return;
    }
    if (path.size() == 1 && method == "GET" && path[0] == "readyz")
    {
        if (node_.is_ready())
            response.send(status_ok, json_content_type, R"({"status":"ready"})");
        else
            send_error(
                request, response,
                not_run(node_.state() == vm_state::draining ? reason::draining : reason::not_ready,
                        "this VM does not accept new requests"));
        return;
    }
    if (path.size() == 1 && method == "GET" && path[0] == "metrics")
    {
        node_.counters().set_gauge("requests_in_flight",
                                   static_cast<std::int64_t>(in_flight_callback_()));
        node_.counters().set_gauge("config_version",
                                   static_cast<std::int64_t>(node_.config().version()));
        node_.counters().set_gauge("order_records_pending",
                                   static_cast<std::int64_t>(node_.orders().pending()));
        response.send(status_ok, prometheus_content_type, node_.counters().scrape());
        return;
    }
    const bool is_admin = path.size() > 2 && path[0] == "admin" && path[1] == "v1";
    const bool is_caller = path.size() > 1 && path[0] == "v1";
    if (!is_admin && !is_caller)
        return send_error(request, response, not_run(reason::not_found, "no such route"));
    if (request.identity.kind == principal::role::none)
        return send_error(request, response,
                          not_run(reason::unauthorized, "a valid API key is required"));
    const auto required_role = is_admin ? principal::role::admin : principal::role::account;
    if (request.identity.kind != required_role)
        return send_error(request, response,
                          not_run(reason::forbidden, "this API key may not use this route"));
    if (refusing_)
        return send_error(request, response, not_run(reason::draining, "this VM is stopping"));
    const counted_scope in_progress(accepted_);
    // Again, now that the request is counted: the VM may have begun to refuse in between.
    if (refusing_)
        return send_error(request, response, not_run(reason::draining, "this VM is stopping"));
    if (is_admin)
        return route_admin(request, response);
    route_caller(request, response);
}

void api::route_caller(const api_request& request, http_response& response)
{
    const std::string& method = request.http->method;
    const std::vector<std::string>& path = request.path;
    if (method == "POST" && path.size() == 3 && path[1] == "pipelines")
        return run_pipeline(request, response);
    if (method == "POST" && path.size() == 4 && path[1] == "services")
        return call_service(request, response);
    if (method == "GET" && path.size() == 3 && path[1] == "orders")
        return get_order(request, response);
    send_error(request, response, not_run(reason::not_found, "no such route"));
}

result<const account_config*> api::account_of(const api_request& request,
                                              const configuration& config) const
{
    if (config.version == 0)
        return not_run(reason::not_ready, "this VM has no configuration yet");
    const account_config* account = find_account(config, request.identity.name);
    if (account == nullptr)
        return not_run(reason::forbidden, "the client account is not in the configuration");
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
                          not_run(reason::bad_request, "input is required and must be a string"));
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

    bool stream_started = false;
    std::uint32_t tokens_sent = 0;
    const auto start_stream = [&]
    {
        if (!stream_started)
            response.start_stream(status_ok, ndjson_content_type, {{"Request-Id", request.id}});
        stream_started = true;
    };
    const auto on_tokens = [&](std::uint32_t first, const std::vector<std::string>& tokens)
    {
        start_stream();
        std::string lines;
        for (std::size_t i = 0; i < tokens.size(); ++i)
            lines +=
                token_line(first + static_cast<std::uint32_t>(i), tokens[i]).serialize() + "\n";
        tokens_sent = first + static_cast<std::uint32_t>(tokens.size());
        return response.write(lines);
    };
    result<pipeline_result> run_result = node_.run_pipeline(*pipeline, config, run, on_tokens);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - request.received);
    log_event(log_level::info, "pipeline",
              {{"request", request.id},
               {"account", run.account},
               {"pipeline", pipeline->name},
               {"result", run_result ? "done" : std::string(to_string(run_result.error().why))},
               {"tokens", std::to_string(tokens_sent)},
               {"ms", std::to_string(elapsed.count())}});
    if (!run_result && !stream_started)
        return send_error(request, response, run_result.error());
    if (!run_result)
    {
        node_.counters().count_refusal(run_result.error().why, run_result.error().outcome);
        if (response.write(error_line(run_result.error(), request.id).serialize() + "\n"))
            response.finish();
        else
            response.abort();
        return;
    }
    const bool in_time = steady_clock::now() <= run.deadline;
    node_.counters().count(in_time ? "pipelines_in_time_total" : "pipelines_late_total");
    // A pipeline that does not end in a generation stage answers with one token, the output of its
    // last stage.
    if (pipeline->stages.back().kind != stage_kind::generation)
        on_tokens(0, {run_result.value().output});
    start_stream();
    if (response.write(end_line(run_result.value(), tokens_sent).serialize() + "\n"))
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
    result<time_point> deadline = deadline_of(request, default_service_deadline);
    if (!deadline)
        return send_error(request, response, deadline.error());
    if (!operation->idempotent)
        return execute_order(request, response, *service, *operation, config, deadline.value());

    pipeline_request call;
    call.id = request.id;
    call.account = account.value()->name;
    call.input = request.http->body;
    call.deadline = deadline.value();
    result<stage_output> output = node_.call_service(*service, *operation, config, call);
    if (!output)
        return send_error(request, response, output.error());
    response.send(static_cast<int>(output.value().status), json_content_type,
                  std::move(output.value().output),
                  {{"Request-Id", request.id}, {"Answer-From", "service"}});
}

void api::execute_order(const api_request& request, http_response& response,
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
    order.account = request.identity.name;
    order.key = key;
    order.digest = order_digest(service.name, operation.name, request.http->body);
    order.deadline = deadline;

    pipeline_request call;
    call.id = request.id;
    call.account = request.identity.name;
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
    result<order_answer> answer = node_.orders().execute(order, make_call);
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
    response.send(answer.value().status, json_content_type, std::move(answer.value().body), extra);
}

void api::get_order(const api_request& request, http_response& response)
{
    const std::string& key = request.path[2];
    if (!is_valid_order_key(key))
        return send_error(request, response, not_run(reason::not_found, "no order with this key"));
    result<order_record> record = node_.orders().find(request.identity.name, key, store_timeout);
    if (!record)
    {
        failure error = record.error();
        if (error.why == reason::order_store_unavailable)
            error.why = reason::store_unavailable;
        return send_error(request, response, error);
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

void api::send_error(const api_request& request, http_response& response, const failure& error,
                     headers extra)
{
    node_.counters().count_refusal(error.why, error.outcome);
    const int status = http_status(error.why);
    extra["Request-Id"] = request.id;
    if (status == status_unavailable)
        extra["Retry-After"] = "1";
    if (status == status_unauthorized)
        extra["WWW-Authenticate"] = "Bearer";
    log_event(log_level::info, "refused",
              {{"request", request.id},
               {"reason", std::string(to_string(error.why))},
               {"verdict", std::string(to_string(error.outcome))},
               {"detail", error.detail}});
    response.send(status, json_content_type, error_body(error, request.id), extra);
}

void api::send_json(const api_request& request, http_response& response, const json& body,
                    headers extra)
{
    extra["Request-Id"] = request.id;
    response.send(status_ok, json_content_type, body.serialize(), extra);
}

} // namespace zinnianotch
