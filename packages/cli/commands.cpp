#include "cli/commands.h"

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

// A request never outlives its deadline, at most 60 s, on the server; the margin covers the way.
constexpr milliseconds longest_deadline{60000};
constexpr milliseconds admin_deadline{10000}; // the server's default for /admin/v1
constexpr milliseconds answer_margin{5000};

struct console
{
    std::ostream& out;
    std::ostream& err;
    output_format output;
};

std::string segment(const std::string& text)
{
    return web::uri::encode_data_string(text);
}

std::string dry_run_query(bool dry_run)
{
    return dry_run ? "?dry_run=true" : "";
}

web::json::value object_of(std::initializer_list<std::pair<const char*, std::string>> members)
{
    web::json::value object = web::json::value::object();
    for (const auto& [name, value] : members)
        object[name] = web::json::value::string(value);
    return object;
}

client_request request_of(const std::string& method, const std::string& path,
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

// Reports an error on the error stream, and as JSON on the output when that is wanted.
exit_code report(const request_error& error, const console& to)
{
    to.err << describe(error);
    if (to.output == output_format::json)
        to.out << to_json(error) << "\n";
    return exit_code_of(error);
}

exit_code report_usage(const std::string& message, const console& to)
{
    to.err << message << "\n";
    return exit_code::usage;
}

// The body of an answer as JSON; null when it is none.
web::json::value body_of(const client_reply& reply)
{
    std::error_code error;
    web::json::value body = web::json::value::parse(reply.body, error);
    return error ? web::json::value::null() : body;
}

void print_answer(command_id command, const client_reply& reply, const console& to)
{
    if (to.output == output_format::json)
    {
        to.out << reply.body << "\n";
        return;
    }
    const web::json::value body = body_of(reply);
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
        to.out << format_settled(body);
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

bool is_read(const command_line& line)
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

// What to look at when the outcome of a change is unknown.
std::string after_unknown(command_id command)
{
    switch (command)
    {
    case command_id::order:
        return "repeat with the same key: the order never runs twice\n";
    case command_id::orders_settle:
        return "repeat the command: it changes nothing when the order is settled\n";
    case command_id::call:
        return "a pipeline may be repeated\n";
    default:
        return "look at `zinnianotch config history` before repeating\n";
    }
}

exit_code report_failed(const request_error& error, const command_line& line, const console& to)
{
    const exit_code code = report(error, to);
    if (code == exit_code::may_have_run)
        to.err << after_unknown(line.command);
    return code;
}

// Sends one request and hands out a 2xx answer; any other end is reported.
template <typename OnSuccess>
exit_code exchange(const command_line& line, const client_request& request, bool reads,
                   api_client& client, const console& to, OnSuccess on_success)
{
    const request_effect effect = reads ? request_effect::read_only : request_effect::modifying;
    const milliseconds timeout = admin_deadline + answer_margin;
    const result<client_reply> reply =
        reads ? client.send(request, timeout) : client.send_once(request, timeout);
    if (reply.has_error())
        return report_failed(to_request_error(reply.error(), effect), line, to);
    if (!is_success(reply.value()))
        return report_failed(to_request_error(reply.value(), effect), line, to);
    return on_success(reply.value());
}

exit_code run_call(const command_line& line, const std::string& key, api_client& client,
                   const console& to)
{
    command_line filled = line;
    if (filled.input_file)
    {
        const result<std::string> text = read_file(*filled.input_file);
        if (text.has_error())
            return report_usage(text.error().detail, to);
        filled.input = text.value();
    }
    pipeline_response_reader reader;
    bool printed = false;
    const line_handler on_line = [&](std::string_view answer_line)
    {
        const std::string text = reader.parse_line(answer_line);
        if (to.output == output_format::json)
            to.out << answer_line << "\n";
        else
            to.out << text;
        printed = printed || !text.empty();
        to.out.flush();
        return !reader.is_finished();
    };
    const milliseconds deadline =
        line.deadline_ms ? milliseconds(*line.deadline_ms) : longest_deadline;
    const result<client_reply> reply =
        client.stream(make_request(filled, key), deadline + answer_margin, on_line);
    if (printed && to.output == output_format::human)
        to.out << "\n";
    // An answer that ended by its own last line is judged by that, however the connection closed.
    if (!reader.is_finished() && reply.has_error())
        return report_failed(to_request_error(reply.error(), request_effect::modifying), line, to);
    if (!reader.is_finished() && !is_success(reply.value()))
        return report_failed(to_request_error(reply.value(), request_effect::modifying), line, to);
    if (const std::optional<request_error> error = reader.error())
        return report_failed(*error, line, to);
    if (to.output == output_format::human && !reader.stage_summary().empty())
        to.err << "stages: " << reader.stage_summary() << "\n";
    return exit_code::done;
}

exit_code run_order(const command_line& line, const std::string& key, api_client& client,
                    const console& to)
{
    const milliseconds deadline =
        line.deadline_ms ? milliseconds(*line.deadline_ms) : longest_deadline;
    const result<client_reply> sent =
        client.send_once(make_request(line, key), deadline + answer_margin);
    if (sent.has_error())
        return report_failed(to_request_error(sent.error(), request_effect::modifying), line, to);
    const client_reply& reply = sent.value();
    if (!reply.headers.contains("answer-from"))
        return report_failed(to_request_error(reply, request_effect::modifying), line, to);
    if (reply.headers.contains("replayed"))
        to.err << "recorded answer of an earlier request with this key\n";
    to.out << reply.body << "\n";
    if (is_success(reply))
        return exit_code::done;
    to.err << "the service answered with status " << reply.status << "\n";
    return exit_code::may_have_run;
}

client_request document_request(const std::string& key, const web::json::value& document,
                                std::uint64_t version, bool dry_run)
{
    client_request request =
        request_of("PUT", "/admin/v1/config" + dry_run_query(dry_run), key, document.serialize());
    request.headers["If-Match"] = "\"" + std::to_string(version) + "\"";
    return request;
}

// The version that the document replaces: from the command line, else from the document.
std::optional<std::uint64_t> replaced_version(const command_line& line,
                                              const web::json::value& document)
{
    if (line.expected_version)
        return line.expected_version;
    if (!document.has_field("version"))
        return std::nullopt;
    return document.at("version").as_number().to_uint64();
}

// Reads and checks the file of `config check` and `config put`; reports what is wrong with it.
std::optional<web::json::value> load_document(const std::string& path, const console& to)
{
    const result<std::string> text = read_file(path);
    if (text.has_error())
    {
        report_usage(text.error().detail, to);
        return std::nullopt;
    }
    const result<web::json::value> document = parse_document(text.value());
    if (document.has_error())
    {
        report_usage(path + ": " + document.error().detail, to);
        return std::nullopt;
    }
    const std::vector<std::string> problems = check_shape(document.value());
    for (const std::string& problem : problems)
        to.err << path << ": " << problem << "\n";
    if (!problems.empty())
        return std::nullopt;
    return document.value();
}

exit_code run_check(const command_line& line, const std::string& key, api_client* client,
                    const console& to)
{
    const std::optional<web::json::value> document = load_document(line.operands[0], to);
    if (!document)
        return exit_code::usage;
    if (!client)
    {
        to.err << line.operands[0]
               << ": keys and types are valid; references, ranges and rights were not checked, "
                  "because no server is given\n";
        return exit_code::done;
    }
    std::optional<std::uint64_t> version = replaced_version(line, *document);
    if (!version)
    {
        const exit_code code =
            exchange(line, request_of("GET", "/admin/v1/config", key), true, *client, to,
                     [&](const client_reply& reply)
                     {
                         const web::json::value current = body_of(reply);
                         if (check_shape(current).empty())
                             version = replaced_version({}, current);
                         return exit_code::done;
                     });
        if (code != exit_code::done)
            return code;
    }
    return exchange(line, document_request(key, *document, version.value_or(0), true), true,
                    *client, to,
                    [&](const client_reply& reply)
                    {
                        print_answer(line.command, reply, to);
                        return exit_code::done;
                    });
}

// Shows the changes by a dry run first, then sends the document.
exit_code run_put(const command_line& line, const std::string& key, api_client& client,
                  const console& to)
{
    const std::optional<web::json::value> document = load_document(line.operands[0], to);
    if (!document)
        return exit_code::usage;
    const std::optional<std::uint64_t> version = replaced_version(line, *document);
    if (!version)
        return report_usage(line.operands[0] +
                                ": names no version; start from the output of `zinnianotch config "
                                "show`, or give --expected-version",
                            to);
    bool has_changes = false;
    const exit_code checked =
        exchange(line, document_request(key, *document, *version, true), true, client, to,
                 [&](const client_reply& reply)
                 {
                     const web::json::value body = body_of(reply);
                     has_changes = body.is_object() && body.has_array_field("changes") &&
                                   body.at("changes").size() > 0;
                     if (line.dry_run || !has_changes)
                         print_answer(line.command, reply, to);
                     else
                         to.err << "Replacing configuration version " << *version << ":\n"
                                << format_differences(body);
                     return exit_code::done;
                 });
    if (checked != exit_code::done || line.dry_run || !has_changes)
        return checked;
    return exchange(line, document_request(key, *document, *version, false), false, client, to,
                    [&](const client_reply& reply)
                    {
                        print_answer(line.command, reply, to);
                        return exit_code::done;
                    });
}

// A VM answers 404 when it has no line about the request.
exit_code ask_vm(const command_line& line, api_client& client, const console& to, bool& known)
{
    const result<client_reply> reply =
        client.send(make_request(line, {}), admin_deadline + answer_margin);
    if (reply.has_error())
        return report_failed(to_request_error(reply.error(), request_effect::read_only), line, to);
    constexpr int not_found = 404;
    if (line.command == command_id::vm_request && reply.value().status == not_found)
        return exit_code::done;
    if (!is_success(reply.value()))
        return report_failed(to_request_error(reply.value(), request_effect::read_only), line, to);
    known = true;
    print_answer(line.command, reply.value(), to);
    return exit_code::done;
}

} // namespace

exit_code run_vm_command(const command_line& line, const std::vector<api_client*>& clients,
                         std::ostream& out, std::ostream& err)
{
    const console to{out, err, line.output};
    exit_code code = exit_code::done;
    bool known = false;
    for (api_client* const client : clients)
    {
        const exit_code one = ask_vm(line, *client, to, known);
        if (one != exit_code::done)
            code = one;
    }
    if (line.command != command_id::vm_request || known || code != exit_code::done)
        return code;
    err << "no VM that was asked has a line about this request: it is older than their last lines, "
           "was at another VM, or its VM has ended\n";
    return exit_code::not_run;
}

client_request make_request(const command_line& line, const std::string& key)
{
    const std::string query = dry_run_query(line.dry_run);
    client_request request;
    switch (line.command)
    {
    case command_id::call:
        request = request_of("POST", "/v1/pipelines/" + segment(line.operands.at(0)), key,
                             object_of({{"input", line.input.value_or("")}}).serialize());
        break;
    case command_id::order:
        request = request_of("POST",
                             "/v1/services/" + segment(line.operands.at(0)) + "/" +
                                 segment(line.operands.at(1)),
                             key, line.body);
        request.headers["Idempotency-Key"] = line.key;
        break;
    case command_id::order_status:
        request = request_of("GET", "/v1/orders/" + segment(line.operands.at(0)), key);
        break;
    case command_id::config_show:
    case command_id::config_check:
    case command_id::config_put:
        request = request_of("GET", "/admin/v1/config", key);
        break;
    case command_id::config_history:
        request =
            request_of("GET", "/admin/v1/config/history?limit=" + std::to_string(line.limit), key);
        break;
    case command_id::exception_add:
    {
        web::json::value body = object_of(
            {{"target", line.target}, {"setting", line.setting}, {"reason", line.reason}});
        body["value"] = web::json::value::number(line.value);
        request = request_of("POST", "/admin/v1/exceptions" + query, key, body.serialize());
        break;
    }
    case command_id::exception_end:
        request = request_of("DELETE",
                             "/admin/v1/exceptions/" + segment(line.operands.at(0)) + query, key);
        break;
    case command_id::domain_out:
    case command_id::domain_in:
    {
        const char* const state = line.command == command_id::domain_out ? "out" : "in";
        request =
            request_of("PUT", "/admin/v1/domains/" + segment(line.operands.at(0)) + query, key,
                       object_of({{"state", state}, {"reason", line.reason}}).serialize());
        break;
    }
    case command_id::status:
        request = request_of("GET", "/admin/v1/status", key);
        break;
    case command_id::orders_settle:
        request = request_of(
            "POST",
            "/admin/v1/orders/" + segment(line.operands.at(0)) + "/" +
                segment(line.operands.at(1)) + query,
            key, object_of({{"state", line.state}, {"reason", line.reason}}).serialize());
        break;
    case command_id::vm_status:
        request.path = "/vm/status";
        break;
    case command_id::vm_request:
        request.path = "/vm/requests/" + segment(line.operands.at(0));
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
               " out of service: it gets no new work after a few seconds, work in flight finishes.";
        break;
    case command_id::domain_in:
        text = "Bringing failure domain " + line.operands.at(0) + " back into service.";
        break;
    case command_id::orders_settle:
        text = "Settling order " + line.operands.at(1) + " of account " + line.operands.at(0);
        text += line.state == "ran"
                    ? " as ran: a repeat with this key never reaches the service."
                    : " as not run: a repeat with this key reaches the service. The order runs "
                      "twice if the first call did run or is still in progress.";
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
        return run_check(line, key, client, to);
    if (!client)
        return report_usage("no server given", to);
    if (line.command == command_id::call)
        return run_call(line, key, *client, to);
    if (line.command == command_id::order)
        return run_order(line, key, *client, to);
    if (line.command == command_id::config_put)
        return run_put(line, key, *client, to);
    const std::string action = describe_action(line);
    if (!action.empty())
        err << action << "\n";
    return exchange(line, make_request(line, key), is_read(line), *client, to,
                    [&](const client_reply& reply)
                    {
                        print_answer(line.command, reply, to);
                        return exit_code::done;
                    });
}

} // namespace zinnianotch
