#include "cli/commands.h"

#include "cli/config_check.h"
#include "cli/document.h"
#include "cli/format.h"
#include "cli/response.h"

#include <cpprest/base_uri.h>
#include <cpprest/json.h>

#include <ostream>

namespace zinnianotch
{

namespace
{

// The server ends each request at its deadline, which is at most 60 s. The client waits longer by
// network_margin, for the transfer of request and response.
constexpr milliseconds max_deadline{60000};
constexpr milliseconds admin_deadline{10000}; // the default of the server for /admin/v1
constexpr milliseconds network_margin{5000};

struct console
{
    std::ostream& out;
    std::ostream& err;
    output_format output;
};

std::string encode_path_segment(const std::string& text)
{
    return web::uri::encode_data_string(text);
}

std::string dry_run_query(bool dry_run)
{
    return dry_run ? "?dry_run=true" : "";
}

web::json::value make_object(std::initializer_list<std::pair<const char*, std::string>> members)
{
    web::json::value object = web::json::value::object();
    for (const auto& [name, value] : members)
        object[name] = web::json::value::string(value);
    return object;
}

client_request authorized_request(const std::string& method, const std::string& path,
                                  const std::string& key, std::string body = {})
{
    client_request request;
    request.method = method;
    request.path = path;
    request.headers["Authorization"] = "Bearer " + key;
    request.body = std::move(body);
    return request;
}

bool is_success(const client_reply& reply)
{
    return reply.status >= 200 && reply.status < 300;
}

// Prints an error to the error stream, and as JSON to the output stream if JSON output is selected.
exit_code print_error(const request_error& error, const console& to)
{
    to.err << describe(error);
    if (to.output == output_format::json)
        to.out << to_json(error) << "\n";
    return exit_code_of(error);
}

exit_code report_usage_error(const std::string& message, const console& to)
{
    to.err << message << "\n";
    return exit_code::usage;
}

// Parses the body of a response. Returns null if it is not valid JSON.
web::json::value parse_body(const client_reply& reply)
{
    std::error_code error;
    web::json::value body = web::json::value::parse(reply.body, error);
    return error ? web::json::value::null() : body;
}

void print_response(command_id command, const client_reply& reply, const console& to)
{
    if (to.output == output_format::json)
    {
        to.out << reply.body << "\n";
        return;
    }
    const web::json::value body = parse_body(reply);
    switch (command)
    {
    case command_id::order_status:
        to.out << format_order(body);
        return;
    case command_id::config_show:
        to.out << to_yaml(body);
        return;
    case command_id::config_history:
        to.out << format_history(body);
        return;
    case command_id::status:
        to.out << format_status(body);
        return;
    case command_id::orders_settle:
        to.out << format_settle_result(body);
        return;
    case command_id::vm_status:
        to.out << format_vm_status(body);
        return;
    case command_id::vm_request:
        to.out << reply.body;
        return;
    default:
        to.out << format_change(body);
        return;
    }
}

bool is_read_only(const command_line& line)
{
    switch (line.command)
    {
    case command_id::order_status:
    case command_id::config_show:
    case command_id::config_check:
    case command_id::config_history:
    case command_id::status:
    case command_id::vm_status:
    case command_id::vm_request:
        return true;
    default:
        return line.dry_run;
    }
}

// How to proceed when it is unknown whether the request was executed.
std::string retry_advice(command_id command)
{
    switch (command)
    {
    case command_id::order:
        return "retry with the same key: the order is never executed twice\n";
    case command_id::orders_settle:
        return "retry the command: it changes nothing if the order is already settled\n";
    case command_id::call:
        return "a pipeline call can safely be retried\n";
    default:
        return "check `zinnianotch config history` before retrying\n";
    }
}

exit_code report_error(const request_error& error, const command_line& line, const console& to)
{
    const exit_code code = print_error(error, to);
    if (code == exit_code::may_have_run)
        to.err << retry_advice(line.command);
    return code;
}

// Sends one request and passes a 2xx response to the handler. Reports any other response or a
// transport failure.
template <typename OnSuccess>
exit_code send_request(const command_line& line, const client_request& request, bool read_only,
                       api_client& client, const console& to, OnSuccess on_success)
{
    const request_effect effect = read_only ? request_effect::read_only : request_effect::modifying;
    const milliseconds timeout = admin_deadline + network_margin;
    const result<client_reply> reply =
        read_only ? client.send(request, timeout) : client.send_once(request, timeout);
    if (reply.has_error())
        return report_error(to_request_error(reply.error(), effect), line, to);
    if (!is_success(reply.value()))
        return report_error(to_request_error(reply.value(), effect), line, to);
    return on_success(reply.value());
}

exit_code run_call(const command_line& line, const std::string& key, api_client& client,
                   const console& to)
{
    command_line command_with_input = line;
    if (command_with_input.input_file)
    {
        const result<std::string> text = read_file(*command_with_input.input_file);
        if (text.has_error())
            return report_usage_error(text.error().detail, to);
        command_with_input.input = text.value();
    }
    pipeline_response_reader reader;
    bool printed = false;
    const line_handler on_response_line = [&](std::string_view response_line)
    {
        const std::string text = reader.parse_line(response_line);
        if (to.output == output_format::json)
            to.out << response_line << "\n";
        else
            to.out << text;
        printed = printed || !text.empty();
        to.out.flush();
        return !reader.is_finished();
    };
    const milliseconds deadline = line.deadline_ms ? milliseconds(*line.deadline_ms) : max_deadline;
    const result<client_reply> reply = client.stream(make_request(command_with_input, key),
                                                     deadline + network_margin, on_response_line);
    if (printed && to.output == output_format::human)
        to.out << "\n";
    // If the response ended with its final or an error line, a transport failure after it is
    // ignored.
    if (!reader.is_finished() && reply.has_error())
        return report_error(to_request_error(reply.error(), request_effect::modifying), line, to);
    if (!reader.is_finished() && !is_success(reply.value()))
        return report_error(to_request_error(reply.value(), request_effect::modifying), line, to);
    if (const std::optional<request_error> error = reader.error())
        return report_error(*error, line, to);
    if (to.output == output_format::human && !reader.stage_summary().empty())
        to.err << "stages: " << reader.stage_summary() << "\n";
    return exit_code::done;
}

exit_code run_order(const command_line& line, const std::string& key, api_client& client,
                    const console& to)
{
    const milliseconds deadline = line.deadline_ms ? milliseconds(*line.deadline_ms) : max_deadline;
    const result<client_reply> sent =
        client.send_once(make_request(line, key), deadline + network_margin);
    if (sent.has_error())
        return report_error(to_request_error(sent.error(), request_effect::modifying), line, to);
    const client_reply& reply = sent.value();
    if (!reply.headers.contains("answer-from"))
        return report_error(to_request_error(reply, request_effect::modifying), line, to);
    if (reply.headers.contains("replayed"))
        to.err << "recorded answer of an earlier request with this key\n";
    to.out << reply.body << "\n";
    if (is_success(reply))
        return exit_code::done;
    to.err << "the service responded with status " << reply.status << "\n";
    return exit_code::may_have_run;
}

client_request put_config_request(const std::string& key, const web::json::value& document,
                                  std::uint64_t version, bool dry_run)
{
    client_request request = authorized_request("PUT", "/admin/v1/config" + dry_run_query(dry_run),
                                                key, document.serialize());
    request.headers["If-Match"] = "\"" + std::to_string(version) + "\"";
    return request;
}

// Returns the version that the document replaces: from the command line or, if not given there,
// from the document.
std::optional<std::uint64_t> version_to_replace(const command_line& line,
                                                const web::json::value& document)
{
    if (line.expected_version)
        return line.expected_version;
    if (!document.has_field("version"))
        return std::nullopt;
    return document.at("version").as_number().to_uint64();
}

// Reads and validates the file of `config put`. Reports all errors found.
std::optional<web::json::value> load_document(const std::string& path, const console& to)
{
    const result<std::string> text = read_file(path);
    if (text.has_error())
    {
        report_usage_error(text.error().detail, to);
        return std::nullopt;
    }
    const result<web::json::value> document = parse_document(text.value());
    if (document.has_error())
    {
        report_usage_error(path + ": " + document.error().detail, to);
        return std::nullopt;
    }
    const std::vector<std::string> problems = check_schema(document.value());
    for (const std::string& problem : problems)
        to.err << path << ": " << problem << "\n";
    if (!problems.empty())
        return std::nullopt;
    return document.value();
}

// Prints the findings of `config check`, and the differences from the file of --against. JSON
// output is one object, to which `response` adds the server's part.
void print_check(const std::vector<config_finding>& findings,
                 const std::optional<std::vector<config_difference>>& differences,
                 const client_reply* reply, const console& to)
{
    if (to.output == output_format::json)
    {
        web::json::value body = reply != nullptr ? parse_body(*reply) : web::json::value::object();
        if (!body.is_object())
            body = web::json::value::object();
        body["findings"] = to_json(findings);
        if (differences)
        {
            web::json::value& list = body["differences"] = web::json::value::array();
            for (const config_difference& difference : *differences)
                list[list.size()] = web::json::value::string(difference.text);
        }
        to.out << body.serialize() << "\n";
        return;
    }
    to.out << format_findings(findings);
    if (differences && differences->empty())
        to.out << "no differences\n";
    for (const config_difference& difference :
         differences.value_or(std::vector<config_difference>{}))
        to.out << "  " << difference.text << "\n";
    if (reply != nullptr)
        print_response(command_id::config_check, *reply, to);
}

// Reads a file of `config check`. Reports all problems if it cannot be used.
std::optional<config_file> load_config_file(const std::string& path, const console& to)
{
    const result<std::string> text = read_file(path);
    if (text.has_error())
    {
        report_usage_error(text.error().detail, to);
        return std::nullopt;
    }
    config_file file = read_config_file(text.value());
    for (const std::string& problem : file.problems)
        to.err << path << ": " << problem << "\n";
    if (!file.problems.empty())
        return std::nullopt;
    return file;
}

exit_code run_config_check(const command_line& line, const std::string& key, api_client* client,
                           const console& to)
{
    const std::string& path = line.operands[0];
    const std::optional<config_file> file = load_config_file(path, to);
    if (!file)
        return exit_code::usage;
    const std::vector<config_finding> findings = find_faults(*file);
    std::optional<std::vector<config_difference>> differences;
    if (!line.against.empty())
    {
        const std::optional<config_file> before = load_config_file(line.against, to);
        if (!before)
            return exit_code::usage;
        differences = compare(*before, *file);
        if (!differences)
            return report_usage_error(line.against + " and " + path + " have different formats",
                                      to);
    }
    const bool is_faulty = has_errors(findings);
    // A desired state of the serving path is written to the store, not to a server.
    if (is_faulty || !client || !file->document)
    {
        print_check(findings, differences, nullptr, to);
        if (!is_faulty)
            to.err << path << ": rights and running endpoints were not checked"
                   << (file->document ? ", because no server is given\n" : "\n");
        return is_faulty ? exit_code::usage : exit_code::done;
    }
    const web::json::value& document = *file->document;
    std::optional<std::uint64_t> version = version_to_replace(line, document);
    if (!version)
    {
        const exit_code code = send_request(
            line, authorized_request("GET", "/admin/v1/config", key), true, *client, to,
            [&](const client_reply& reply)
            {
                const web::json::value current = parse_body(reply);
                if (check_schema(current).empty())
                    version = version_to_replace({}, current);
                return exit_code::done;
            });
        if (code != exit_code::done)
            return code;
    }
    return send_request(line, put_config_request(key, document, version.value_or(0), true), true,
                        *client, to,
                        [&](const client_reply& reply)
                        {
                            print_check(findings, differences, &reply, to);
                            return exit_code::done;
                        });
}

// Shows the changes with a dry run, then sends the document.
exit_code run_config_put(const command_line& line, const std::string& key, api_client& client,
                         const console& to)
{
    const std::optional<web::json::value> document = load_document(line.operands[0], to);
    if (!document)
        return exit_code::usage;
    const std::optional<std::uint64_t> version = version_to_replace(line, *document);
    if (!version)
        return report_usage_error(
            line.operands[0] + ": has no version; start from the output of `zinnianotch config "
                               "show`, or give --expected-version",
            to);
    bool has_changes = false;
    const exit_code checked =
        send_request(line, put_config_request(key, *document, *version, true), true, client, to,
                     [&](const client_reply& reply)
                     {
                         const web::json::value body = parse_body(reply);
                         has_changes = body.is_object() && body.has_array_field("changes") &&
                                       body.at("changes").size() > 0;
                         if (line.dry_run || !has_changes)
                             print_response(line.command, reply, to);
                         else
                             to.err << "Replacing configuration version " << *version << ":\n"
                                    << format_change_list(body);
                         return exit_code::done;
                     });
    if (checked != exit_code::done || line.dry_run || !has_changes)
        return checked;
    return send_request(line, put_config_request(key, *document, *version, false), false, client,
                        to,
                        [&](const client_reply& reply)
                        {
                            print_response(line.command, reply, to);
                            return exit_code::done;
                        });
}

// Sends the query to one VM. A VM responds with 404 if it has no log line of the request.
exit_code query_vm(const command_line& line, api_client& client, const console& to, bool& found)
{
    const result<client_reply> reply =
        client.send(make_request(line, {}), admin_deadline + network_margin);
    if (reply.has_error())
        return report_error(to_request_error(reply.error(), request_effect::read_only), line, to);
    constexpr int not_found = 404;
    if (line.command == command_id::vm_request && reply.value().status == not_found)
        return exit_code::done;
    if (!is_success(reply.value()))
        return report_error(to_request_error(reply.value(), request_effect::read_only), line, to);
    found = true;
    print_response(line.command, reply.value(), to);
    return exit_code::done;
}

} // namespace

exit_code run_vm_command(const command_line& line, const std::vector<api_client*>& clients,
                         std::ostream& out, std::ostream& err)
{
    const console to{out, err, line.output};
    exit_code code = exit_code::done;
    bool found = false;
    for (api_client* const client : clients)
    {
        const exit_code vm_code = query_vm(line, *client, to, found);
        if (vm_code != exit_code::done)
            code = vm_code;
    }
    if (line.command != command_id::vm_request || found || code != exit_code::done)
        return code;
    err << "no VM that was asked has a log line of this request: the lines are no longer kept, "
           "another VM "
           "handled the request, or the VM that did has stopped\n";
    return exit_code::not_run;
}

client_request make_request(const command_line& line, const std::string& key)
{
    const std::string query = dry_run_query(line.dry_run);
    client_request request;
    switch (line.command)
    {
    case command_id::call:
        request =
            authorized_request("POST", "/v1/pipelines/" + encode_path_segment(line.operands.at(0)),
                               key, make_object({{"input", line.input.value_or("")}}).serialize());
        break;
    case command_id::order:
        request = authorized_request("POST",
                                     "/v1/services/" + encode_path_segment(line.operands.at(0)) +
                                         "/" + encode_path_segment(line.operands.at(1)),
                                     key, line.body);
        request.headers["Idempotency-Key"] = line.key;
        break;
    case command_id::order_status:
        request = authorized_request("GET",
                                     "/v1/orders/" + encode_path_segment(line.operands.at(0)), key);
        break;
    case command_id::config_show:
    case command_id::config_check:
    case command_id::config_put:
        request = authorized_request("GET", "/admin/v1/config", key);
        break;
    case command_id::config_history:
        request = authorized_request(
            "GET", "/admin/v1/config/history?limit=" + std::to_string(line.limit), key);
        break;
    case command_id::exception_add:
    {
        web::json::value body = make_object(
            {{"target", line.target}, {"setting", line.setting}, {"reason", line.reason}});
        body["value"] = web::json::value::number(line.value);
        request = authorized_request("POST", "/admin/v1/exceptions" + query, key, body.serialize());
        break;
    }
    case command_id::exception_end:
        request = authorized_request(
            "DELETE", "/admin/v1/exceptions/" + encode_path_segment(line.operands.at(0)) + query,
            key);
        break;
    case command_id::domain_out:
    case command_id::domain_in:
    {
        const char* const state = line.command == command_id::domain_out ? "out" : "in";
        request = authorized_request(
            "PUT", "/admin/v1/domains/" + encode_path_segment(line.operands.at(0)) + query, key,
            make_object({{"state", state}, {"reason", line.reason}}).serialize());
        break;
    }
    case command_id::status:
        request = authorized_request("GET", "/admin/v1/status", key);
        break;
    case command_id::orders_settle:
        request = authorized_request(
            "POST",
            "/admin/v1/orders/" + encode_path_segment(line.operands.at(0)) + "/" +
                encode_path_segment(line.operands.at(1)) + query,
            key, make_object({{"state", line.state}, {"reason", line.reason}}).serialize());
        break;
    case command_id::vm_status:
        request.path = "/vm/status";
        break;
    case command_id::vm_request:
        request.path = "/vm/requests/" + encode_path_segment(line.operands.at(0));
        break;
    }
    if (line.deadline_ms)
        request.headers["Deadline-Ms"] = std::to_string(*line.deadline_ms);
    return request;
}

std::string describe_action(const command_line& line)
{
    std::string text;
    switch (line.command)
    {
    case command_id::exception_add:
        text = "Setting " + line.setting + " to " + std::to_string(line.value) + " for " +
               line.target + " instead of the default.";
        break;
    case command_id::exception_end:
        text = "Ending exception " + line.operands.at(0) + ": the default applies again.";
        break;
    case command_id::domain_out:
        text = "Taking failure domain " + line.operands.at(0) +
               " out of service: it gets no new requests after a few seconds, requests in flight "
               "finish.";
        break;
    case command_id::domain_in:
        text = "Bringing failure domain " + line.operands.at(0) + " back into service.";
        break;
    case command_id::orders_settle:
        text = "Settling order " + line.operands.at(1) + " of account " + line.operands.at(0);
        text += line.state == "ran"
                    ? " as ran: a retry with this key is never sent to the service."
                    : " as not run: a retry with this key is sent to the service. The order is "
                      "executed twice if the first call was executed or is still in progress.";
        break;
    default:
        return {};
    }
    return (line.dry_run ? "Dry run, nothing is written. " : "") + text;
}

exit_code run_command(const command_line& line, const std::string& key, api_client* client,
                      std::ostream& out, std::ostream& err)
{
    const console to{out, err, line.output};
    if (line.command == command_id::config_check)
        return run_config_check(line, key, client, to);
    if (!client)
        return report_usage_error("no server given", to);
    if (line.command == command_id::call)
        return run_call(line, key, *client, to);
    if (line.command == command_id::order)
        return run_order(line, key, *client, to);
    if (line.command == command_id::config_put)
        return run_config_put(line, key, *client, to);
    const std::string action = describe_action(line);
    if (!action.empty())
        err << action << "\n";
    return send_request(line, make_request(line, key), is_read_only(line), *client, to,
                        [&](const client_reply& reply)
                        {
                            print_response(line.command, reply, to);
                            return exit_code::done;
                        });
}

} // namespace zinnianotch
