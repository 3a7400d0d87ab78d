// Unit tests of the command line client without a server: arguments, files, answers, exit codes.
#include "cli/arguments.h"
#include "cli/commands.h"
#include "cli/document.h"
#include "cli/format.h"
#include "cli/response.h"
#include "protocol/vm_report_codec.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace zinnianotch;

namespace
{

using string_list = std::vector<std::string>;

const environment env{"http://127.0.0.1:7000", "secret"};

command_line parse_or_fail(const string_list& arguments)
{
    const invocation parsed = parse_arguments(arguments, env);
    cr_assert(parsed.run.has_value(), "%s", parsed.text.c_str());
    return parsed.run.value_or(command_line{});
}

void expect_usage(const string_list& arguments, const std::string& text,
                  const environment& variables = env)
{
    const invocation parsed = parse_arguments(arguments, variables);
    cr_assert(!parsed.run.has_value(), "accepted, expected: %s", text.c_str());
    cr_assert(parsed.code == exit_code::usage);
    cr_assert(parsed.text.find(text) != std::string::npos, "%s", parsed.text.c_str());
}

// Returns the prepared replies in order and records the requests.
class fake_client final : public api_client
{
public:
    result<client_reply> send(const client_request& request, milliseconds) override
    {
        return next_reply_for(request, "send");
    }

    result<client_reply> send_once(const client_request& request, milliseconds) override
    {
        return next_reply_for(request, "send_once");
    }

    result<client_reply> stream(const client_request& request, milliseconds,
                                const line_handler& on_line) override
    {
        for (const std::string& line : lines)
            if (!on_line(line))
                break;
        return next_reply_for(request, "stream");
    }

    std::vector<result<client_reply>> replies;
    string_list lines;
    std::vector<client_request> sent;
    string_list called_functions;

private:
    result<client_reply> next_reply_for(const client_request& request, const char* function)
    {
        sent.push_back(request);
        called_functions.emplace_back(function);
        cr_assert(sent.size() <= replies.size(), "unexpected request %s", request.path.c_str());
        return replies[sent.size() - 1];
    }
};

client_reply reply_of(int status, std::string body)
{
    client_reply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

std::string error_body(const std::string& why, const std::string& outcome)
{
    return R"({"error":{"reason":")" + why + R"(","verdict":")" + outcome +
           R"(","message":"m","request":"r"}})";
}

struct run_result
{
    exit_code code;
    std::string out;
    std::string err;
};

run_result run(const string_list& arguments, fake_client& client)
{
    std::ostringstream out;
    std::ostringstream err;
    const exit_code code = run_command(parse_or_fail(arguments), "secret", &client, out, err);
    return {code, out.str(), err.str()};
}

exit_code exit_code_for(const string_list& arguments, result<client_reply> reply)
{
    fake_client client;
    client.replies.push_back(std::move(reply));
    return run(arguments, client).code;
}

// A temporary file, removed by the destructor.
class temporary_file
{
public:
    explicit temporary_file(const std::string& content)
    {
        const int descriptor = mkstemp(path_);
        cr_assert(descriptor >= 0);
        close(descriptor);
        std::ofstream(path_) << content;
    }

    ~temporary_file() { std::remove(path_); }

    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    std::string path() const { return path_; }

private:
    char path_[32] = "/tmp/zinnianotch-cli-XXXXXX";
};

const string_list order_arguments = {"order", "circulation", "loan",        "--key",
                                     "k-1",   "--body",      R"({"kit":7})"};
const string_list domain_out_arguments = {"domain", "out", "dom-a", "--reason", "cooling"};
const std::string change_body = R"({"version":13,"dry_run":false,"changes":["a -> b"]})";
const std::string dry_run_change_body = R"({"version":13,"dry_run":true,"changes":["a -> b"]})";

} // namespace

// Guards against options that are accepted only before the command.
Test(arguments, options_anywhere_are_accepted)
{
    const command_line line =
        parse_or_fail({"--output", "json", "domain", "--reason=cooling", "out", "dom-a",
                       "--dry-run", "--server", "http://[::1]:80/"});
    cr_assert(line.command == command_id::domain_out);
    cr_assert(line.operands == string_list{"dom-a"});
    cr_assert(line.reason == "cooling" && line.dry_run);
    cr_assert(line.output == output_format::json);
    cr_assert(line.server == "http://[::1]:80");
}

// Guards against an option value that starts with a hyphen, or is empty, being taken for an option
// or a missing value.
Test(arguments, value_with_leading_hyphen_is_kept)
{
    cr_assert(parse_or_fail({"call", "p", "--input", "-5 degrees"}).input == "-5 degrees");
    cr_assert(parse_or_fail({"call", "p", "--input", ""}).input == "");
}

// Guards against running a mistyped command.
Test(arguments, wrong_usage_is_refused)
{
    expect_usage({}, "no command given");
    expect_usage({"domain"}, "unknown command domain");
    expect_usage({"domain", "out", "--reason", "x"}, "usage: zinnianotch domain out ID");
    expect_usage({"domain", "out", "a", "b", "--reason", "x"}, "usage:");
    expect_usage({"domain", "out", "a"}, "needs --reason");
    expect_usage({"domain", "out", "a", "--reason", " "}, "must not be empty");
    expect_usage({"status", "--dry-run"}, "--dry-run is not an option of status");
    expect_usage({"status", "--bogus"}, "--bogus");
    expect_usage({"status", "--server"}, "--server");
    expect_usage({"status", "--output", "xml"}, "human or json");
    expect_usage({"status", "--output", "json", "--output", "json"}, "given twice");
    expect_usage({"status", "--server", "https://127.0.0.1:1"}, "http://HOST:PORT");
    expect_usage({"status", "--server", "http://127.0.0.1"}, "http://HOST:PORT");
    expect_usage({"status"}, "ZINNIANOTCH_SERVER", {});
    expect_usage({"call", "p"}, "either --input or --input-file");
    expect_usage({"call", "p", "--input", "a", "--input-file", "b"}, "either --input");
    expect_usage({"call", "p", "--input", "a", "--deadline-ms", "0"}, "from 1 to 60000");
    expect_usage({"call", "p", "--input", "a", "--deadline-ms", "5s"}, "from 1 to 60000");
    expect_usage({"order", "s", "o", "--key", "a/b", "--body", "{}"}, "--key must be");
    expect_usage({"order", "s", "o", "--key", "a", "--body", "{"}, "not valid JSON");
    expect_usage({"config", "history", "--limit", "101"}, "from 1 to 100");
    expect_usage({"orders", "settle", "a", "k", "--state", "done", "--reason", "x"},
                 "ran or not_run");
    expect_usage({"exception", "add", "--target", "engines", "--setting", "warm_limit", "--value",
                  "1", "--reason", "x"},
                 "pool:NAME");
}

// Guards against help that does not document the exit codes.
Test(arguments, help_names_exit_codes_and_command_options)
{
    const invocation general = parse_arguments({"--help"}, {});
    cr_assert(!general.run && general.code == exit_code::done);
    cr_assert(general.text.find("3  may have run") != std::string::npos);
    cr_assert(general.text.find("orders settle ACCOUNT KEY") != std::string::npos);
    const invocation special = parse_arguments({"domain", "out", "--help"}, {});
    cr_assert(special.text.find("Usage: zinnianotch domain out ID") == 0);
    cr_assert(parse_arguments({"--version"}, {}).text.find("zinnianotch ") == 0);
}

// Guards against a key that includes the line ending of its file, and a missing or invalid key that
// is not reported.
Test(arguments, key_from_file_precedes_environment)
{
    const temporary_file file("from-file\r\n");
    const temporary_file empty("\n");
    const temporary_file two_lines("a\nb\n");
    command_line line;
    cr_assert(load_key(line, env).value() == "secret");
    cr_assert(load_key(line, {}).has_error());
    line.key_file = file.path();
    cr_assert(load_key(line, env).value() == "from-file");
    line.key_file = empty.path();
    cr_assert(load_key(line, env).has_error());
    line.key_file = two_lines.path();
    cr_assert(load_key(line, env).has_error());
    line.key_file = "/nonexistent/key";
    cr_assert(load_key(line, env).has_error());
}

// Guards against YAML numbers converted to strings, and names such as 12, no or true converted to
// numbers or booleans.
Test(document, yaml_converts_by_field_name)
{
    const result<web::json::value> document =
        parse_document("defaults: {cold_limit: 3}\n"
                       "domains: [{id: no, out: true}, {id: 12, out: false}]\n"
                       "pipelines: [{name: true, deadline_ms: 700, stages: []}]\n");
    cr_assert(document.has_value());
    const web::json::value& json = document.value();
    cr_assert(json.at("defaults").at("cold_limit").as_integer() == 3);
    cr_assert(json.at("domains").at(0).at("id").as_string() == "no");
    cr_assert(json.at("domains").at(0).at("out").as_bool());
    cr_assert(json.at("domains").at(1).at("id").as_string() == "12");
    cr_assert(json.at("pipelines").at(0).at("name").as_string() == "true");
    cr_assert(json.at("pipelines").at(0).at("deadline_ms").as_integer() == 700);
}

// Guards against a document that changes when it is written as YAML and read back.
Test(document, yaml_output_reads_back_unchanged)
{
    const char* const text =
        R"({"version":18446744073709551615,"author":"null","defaults":{"cold_limit":2},)"
        R"("pipelines":[{"name":"a: b # c","team":"","stages":[{"kind":"generation",)"
        R"("max_tokens":5,"name":"- x","pool":"\"q\" 'r'"}]}],)"
        R"("domains":[{"id":"true","out":true}],)"
        R"("exceptions":[{"reason":"two\nlines\tand \u00fc"}]})";
    const web::json::value before = web::json::value::parse(text);
    const result<web::json::value> after = parse_document(to_yaml(before));
    cr_assert(after.has_value());
    cr_assert(after.value().serialize() == before.serialize(), "%s\n%s", to_yaml(before).c_str(),
              after.value().serialize().c_str());
}

// Guards against files with syntax errors, duplicate keys, excessive nesting or no mapping at the
// top level that are accepted.
Test(document, text_not_a_document_is_refused)
{
    cr_assert(parse_document("a: [").has_error());
    cr_assert(parse_document("domains: []\ndomains: []\n").error().detail ==
              "line 2: domains is given twice");
    cr_assert(!check_schema(parse_document("").value()).empty());
    cr_assert(!check_schema(parse_document("- a").value()).empty());
    cr_assert(parse_document(std::string(1000, '[')).has_error());
}

// Guards against a check that stops at the first problem, or leaves problems to the server.
Test(document, check_schema_reports_every_problem_with_its_path)
{
    const result<web::json::value> document = parse_document(
        "pools: [{name: p, endpoints: [{id: e, domain: d, url: u, leave: true}]}]\n"
        "pipelines: [{name: q, team: t, deadline_ms: 5s, stages: [{name: s, kind: gen, pool: "
        "p}]}]\n"
        "services: [{name: s, pool: p, operations: [{name: o, idempotent: maybe}]}]\n"
        "accounts: [{name: a, team: t, priority: 4294967296}]\n"
        "domains: {id: d}\n"
        "exceptions: [{id: x, target: t, setting: s, value: 1}]\n");
    cr_assert(document.has_value());
    std::string all;
    for (const std::string& problem : check_schema(document.value()))
        all += problem + "\n";
    for (const char* problem : {"unknown key pools[0].endpoints[0].leave\n",
                                "pipelines[0].deadline_ms must be a whole number without a unit\n",
                                "pipelines[0].stages[0].kind must be encoding,",
                                "services[0].operations[0].idempotent must be true or false\n",
                                "accounts[0].priority is too large\n", "domains must be a list\n",
                                "exceptions[0].reason is missing\n"})
        cr_assert(all.find(problem) != std::string::npos, "%s not in:\n%s", problem, all.c_str());
    cr_assert(std::count(all.begin(), all.end(), '\n') == 7, "%s", all.c_str());
}

// Guards against an incomplete or inconsistent answer stream that is accepted as complete.
Test(answer, stream_incomplete_or_inconsistent_is_an_error)
{
    const std::string first = R"({"type":"token","index":0,"text":"a"})";
    const std::string third = R"({"type":"token","index":2,"text":"c"})";
    const std::string end = R"({"type":"end","tokens":1,"stages":[]})";
    const auto reason_of = [](const string_list& lines) -> std::string
    {
        pipeline_response_reader reader;
        for (const std::string& line : lines)
            reader.parse_line(line);
        const std::optional<request_error> error = reader.error();
        return error ? error->reason_name : "";
    };
    cr_assert(reason_of({first, end}).empty());
    cr_assert(reason_of({}) == "connection_broken");
    cr_assert(reason_of({first}) == "connection_broken");
    cr_assert(reason_of({first, first}) == "token_gap");
    cr_assert(reason_of({first, third}) == "token_gap");
    cr_assert(reason_of({end}) == "token_gap");
    cr_assert(reason_of({first, end, first}) == "answer_mismatch");
    cr_assert(reason_of({first, "{"}) == "answer_mismatch");
    cr_assert(reason_of({first, R"({"type":"error","reason":"busy","verdict":"not_run"})"}) ==
              "busy");
    cr_assert(reason_of({first, R"({"type":"error","reason":"busy"})"}) == "answer_mismatch");
}

// Guards against an exit code that reports a request as not run although it may have run, or the
// reverse.
Test(commands, exit_code_follows_verdict)
{
    using enum exit_code;
    const string_list status = {"status"};
    string_list dry_run_arguments = domain_out_arguments;
    dry_run_arguments.emplace_back("--dry-run");
    const auto refused = [](int status_code, const char* why, const char* outcome)
    { return reply_of(status_code, error_body(why, outcome)); };

    cr_assert(exit_code_for(domain_out_arguments, reply_of(200, change_body)) == done);
    cr_assert(exit_code_for(domain_out_arguments, refused(403, "forbidden", "not_run")) == not_run);
    cr_assert(exit_code_for(domain_out_arguments,
                            refused(504, "deadline_exceeded", "may_have_run")) == may_have_run);
    cr_assert(exit_code_for(domain_out_arguments,
                            refused(422, "invalid_configuration", "not_run")) == usage);
    cr_assert(exit_code_for(domain_out_arguments, reply_of(502, "<html>")) == may_have_run);
    cr_assert(exit_code_for(status, reply_of(502, "<html>")) == not_run);
    cr_assert(exit_code_for(dry_run_arguments, reply_of(502, "<html>")) == not_run);

    const failure refused_connection = zinnianotch::not_run(reason::connect_failed, "refused");
    const failure broken_connection = zinnianotch::may_have_run(reason::connection_broken, "cut");
    cr_assert(exit_code_for(domain_out_arguments, refused_connection) == unreachable);
    cr_assert(exit_code_for(domain_out_arguments, broken_connection) == may_have_run);
    cr_assert(exit_code_for(status, broken_connection) == unreachable);
    cr_assert(exit_code_for(dry_run_arguments, broken_connection) == unreachable);
    cr_assert(exit_code_for(order_arguments, refused_connection) == unreachable);
    cr_assert(exit_code_for(order_arguments, broken_connection) == may_have_run);
}

// Guards against an error of zinnianotch that is printed as the answer of the service, and an error
// answer of the service that is reported as not run.
Test(commands, order_service_answer_is_distinguished_from_error)
{
    client_reply service = reply_of(409, R"({"kit":"on loan"})");
    service.headers["answer-from"] = "service";
    service.headers["replayed"] = "true";
    fake_client client;
    client.replies = {service, reply_of(409, error_body("order_in_progress", "may_have_run")),
                      reply_of(503, error_body("order_store_unavailable", "not_run"))};
    run_result command_result = run(order_arguments, client);
    cr_assert(command_result.code == exit_code::may_have_run);
    cr_assert(command_result.out == "{\"kit\":\"on loan\"}\n");
    cr_assert(command_result.err.find("recorded answer") != std::string::npos);
    command_result = run(order_arguments, client);
    cr_assert(command_result.code == exit_code::may_have_run && command_result.out.empty());
    cr_assert(command_result.err.find("same key") != std::string::npos);
    command_result = run(order_arguments, client);
    cr_assert(command_result.code == exit_code::not_run && command_result.out.empty());
    cr_assert(client.called_functions == string_list({"send_once", "send_once", "send_once"}));
}

// Guards against a change that is sent by a function of the HTTP client that may repeat requests.
Test(commands, change_is_sent_once_and_read_is_not)
{
    fake_client client;
    client.replies = {reply_of(200, change_body), reply_of(200, dry_run_change_body),
                      reply_of(200, "{}")};
    string_list dry_run_arguments = domain_out_arguments;
    dry_run_arguments.emplace_back("--dry-run");
    const run_result command_result = run(domain_out_arguments, client);
    cr_assert(command_result.out.find("accepted as version 13") == 0);
    cr_assert(command_result.err.find("Taking failure domain dom-a out of service") == 0);
    const run_result dry_run_result = run(dry_run_arguments, client);
    cr_assert(dry_run_result.out.find("dry run, would become version 13") == 0);
    cr_assert(dry_run_result.err.find("Dry run, nothing is written.") == 0);
    run({"status"}, client);
    cr_assert(client.called_functions == string_list({"send_once", "send", "send"}));
    cr_assert(client.sent[0].path == "/admin/v1/domains/dom-a");
    cr_assert(client.sent[1].path == "/admin/v1/domains/dom-a?dry_run=true");
}

// Guards against names that are not escaped in the path, and requests that differ from docs/api.md.
Test(commands, request_matches_api)
{
    client_request request = make_request(
        parse_or_fail({"call", "a/b c", "--input", "x", "--deadline-ms", "70"}), "secret");
    cr_assert(request.method == "POST" && request.path == "/v1/pipelines/a%2Fb%20c");
    cr_assert(request.headers["Authorization"] == "Bearer secret");
    cr_assert(request.headers["Deadline-Ms"] == "70");
    cr_assert(request.body == R"({"input":"x"})");
    request = make_request(parse_or_fail(order_arguments), "secret");
    cr_assert(request.path == "/v1/services/circulation/loan");
    cr_assert(request.headers["Idempotency-Key"] == "k-1" && request.body == R"({"kit":7})");
    request = make_request(parse_or_fail({"order-status", "k-1"}), "secret");
    cr_assert(request.method == "GET" && request.path == "/v1/orders/k-1");
    request = make_request(parse_or_fail({"exception", "end", "ex-1"}), "secret");
    cr_assert(request.method == "DELETE" && request.path == "/admin/v1/exceptions/ex-1");
    request = make_request(parse_or_fail({"exception", "add", "--target", "pool:p", "--setting",
                                          "s", "--value", "4", "--reason", "r"}),
                           "secret");
    cr_assert(request.method == "POST" && request.path == "/admin/v1/exceptions");
    const web::json::value body = web::json::value::parse(request.body);
    cr_assert(body.at("target").as_string() == "pool:p" && body.at("value").as_integer() == 4);
    cr_assert(body.at("setting").as_string() == "s" && body.at("reason").as_string() == "r");
    request = make_request(parse_or_fail({"orders", "settle", "acc", "k", "--state", "not_run",
                                          "--reason", "r", "--dry-run"}),
                           "secret");
    cr_assert(request.path == "/admin/v1/orders/acc/k?dry_run=true");
    request = make_request(parse_or_fail({"config", "history", "--limit", "3"}), "secret");
    cr_assert(request.path == "/admin/v1/config/history?limit=3");
}

// Guards against a pipeline answer that is printed incompletely, or a broken stream that is not
// reported with its verdict.
Test(commands, call_prints_tokens_and_reports_broken_stream)
{
    fake_client client;
    client.lines = {R"({"type":"token","index":0,"text":"a "})",
                    R"({"type":"token","index":1,"text":"b"})",
                    R"({"type":"end","tokens":2,"stages":[{"name":"w","ms":5,"attempts":2}]})"};
    client.replies = {reply_of(200, ""), reply_of(200, ""),
                      zinnianotch::may_have_run(reason::connection_broken, "cut"),
                      reply_of(503, error_body("busy", "not_run"))};
    const string_list call = {"call", "p", "--input", "x"};
    run_result command_result = run(call, client);
    cr_assert(command_result.code == exit_code::done && command_result.out == "a b\n", "%s",
              command_result.out.c_str());
    cr_assert(command_result.err == "stages: w 5 ms (2 attempts)\n", "%s",
              command_result.err.c_str());
    client.lines.pop_back();
    command_result = run(call, client);
    cr_assert(command_result.code == exit_code::may_have_run);
    cr_assert(command_result.err.find("cut after 2 tokens") != std::string::npos, "%s",
              command_result.err.c_str());
    command_result = run(call, client);
    cr_assert(command_result.code == exit_code::may_have_run);
    client.lines.clear();
    command_result = run(call, client);
    cr_assert(command_result.code == exit_code::not_run && command_result.out.empty());
}

// Guards against replacing a configuration version that the author of the document has not seen.
Test(commands, config_put_names_version_and_shows_changes_first)
{
    const temporary_file file("version: 12\ndomains: [{id: dom-a}]\n");
    const temporary_file unversioned("domains: []\n");
    fake_client client;
    client.replies = {reply_of(200, dry_run_change_body), reply_of(200, change_body),
                      reply_of(409, R"({"error":{"reason":"version_conflict","verdict":"not_run",)"
                                    R"("message":"m","request":"r","current_version":14}})")};
    run_result command_result = run({"config", "put", file.path()}, client);
    cr_assert(command_result.code == exit_code::done);
    cr_assert(client.called_functions == string_list({"send", "send_once"}));
    cr_assert(client.sent[0].path == "/admin/v1/config?dry_run=true");
    cr_assert(client.sent[1].path == "/admin/v1/config" && client.sent[1].method == "PUT");
    cr_assert(client.sent[1].headers["If-Match"] == "\"12\"");
    cr_assert(command_result.err == "Replacing configuration version 12:\n  a -> b\n", "%s",
              command_result.err.c_str());
    cr_assert(command_result.out.find("accepted as version 13") == 0);
    command_result = run({"config", "put", file.path(), "--expected-version", "13"}, client);
    cr_assert(command_result.code == exit_code::not_run);
    cr_assert(client.sent[2].headers["If-Match"] == "\"13\"");
    cr_assert(command_result.err.find("version in effect: 14") != std::string::npos);
    command_result = run({"config", "put", unversioned.path()}, client);
    cr_assert(command_result.code == exit_code::usage && client.sent.size() == 3);
}

// Guards against a check that writes, and an offline check that does not report what it omitted.
Test(commands, config_check_never_writes)
{
    const temporary_file file("domains: []\n");
    const temporary_file wrong("domain: []\n");
    fake_client client;
    client.replies = {reply_of(200, R"({"version":7,"author":"a"})"),
                      reply_of(200, dry_run_change_body)};
    run_result command_result = run({"config", "check", file.path()}, client);
    cr_assert(command_result.code == exit_code::done);
    cr_assert(client.called_functions == string_list({"send", "send"}));
    cr_assert(client.sent[1].path == "/admin/v1/config?dry_run=true");
    cr_assert(client.sent[1].headers["If-Match"] == "\"7\"");
    command_result = run({"config", "check", wrong.path()}, client);
    cr_assert(command_result.code == exit_code::usage && client.sent.size() == 2);
    cr_assert(command_result.err.find("unknown key domain") != std::string::npos);

    std::ostringstream out;
    std::ostringstream err;
    command_line offline = parse_or_fail({"config", "check", file.path()});
    cr_assert(run_command(offline, {}, nullptr, out, err) == exit_code::done);
    cr_assert(err.str().find("were not checked") != std::string::npos);
}

// Guards against errors that are printed as plain text although JSON output is requested.
Test(commands, json_output_holds_errors)
{
    fake_client client;
    client.replies = {zinnianotch::not_run(reason::connect_failed, "refused")};
    const run_result command_result = run({"status", "--output", "json"}, client);
    const web::json::value body = web::json::value::parse(command_result.out);
    cr_assert(body.at("error").at("reason").as_string() == "connect_failed");
    cr_assert(body.at("error").at("verdict").as_string() == "not_run");
}

// Guards against failing to print answers of older or newer servers that lack members.
Test(format, answer_with_missing_members_is_shown)
{
    const web::json::value empty = web::json::value::object();
    cr_assert(format_status(empty).find("authority -,") != std::string::npos);
    cr_assert(!format_history(empty).empty());
    cr_assert(!format_order(web::json::value::null()).empty());
    cr_assert(!format_settle_result(empty).empty());
    cr_assert(format_change(empty) == "nothing to change, version - stays in effect\n");
}

// Guards against a status output without lapsed authority, unreachable peers, endpoints or
// refusals.
Test(format, status_shows_peers_endpoints_and_counters)
{
    const std::string text = format_status(web::json::value::parse(
        R"({"vm":{"name":"vm-a1","failure_domain":"dom-a","state":"serving","in_flight":4},)"
        R"("configuration":{"version":13,"author":"n"},)"
        R"("view":{"version":5,"authority_current":false,"members":["vm-a1"],"former":["vm-a9"]},)"
        R"("peers":[{"vm":"vm-a2","failure_domain":"dom-a","address":"127.0.0.1:7","state":"serving",)"
        R"("reachable":false,"configuration_version":12}],)"
        R"("endpoints":[{"id":"engine-1","pool":"engines","failure_domain":"dom-a","owner":"",)"
        R"("phase":"unknown","in_flight":0,"limit":0}],)"
        R"("refusals":{"busy":2,"draining":11},"retries":{}})"));
    for (const char* part :
         {"vm vm-a1, serving, failure domain dom-a, in flight 4\n", "authority LAPSED",
          "former vm-a9", "vm-a2  dom-a   127.0.0.1:7  serving  NO         12\n",
          "engine-1  engines  dom-a   -      unknown  0          0\n",
          "refusals: draining 11, busy 2\n", "retries: none\n"})
        cr_assert(text.find(part) != std::string::npos, "%s not in:\n%s", part, text.c_str());
}

namespace
{

const string_list three_vms_arguments = {
    "vm", "request", "r 1", "--server",
    "http://10.0.0.1:9464,http://10.0.0.2:9464,http://10.0.0.3:9464"};

run_result run_on_three_vms(fake_client& first, fake_client& second, fake_client& third)
{
    std::ostringstream out;
    std::ostringstream err;
    const exit_code code =
        run_vm_command(parse_or_fail(three_vms_arguments), {&first, &second, &third}, out, err);
    return {code, out.str(), err.str()};
}

} // namespace

// Guards against a truncated list of servers, and a list that is accepted by commands that take one
// server.
Test(cli, vm_commands_take_several_servers)
{
    const command_line line = parse_or_fail(three_vms_arguments);
    cr_assert(line.server == "http://10.0.0.1:9464");
    cr_assert(line.additional_servers ==
              (string_list{"http://10.0.0.2:9464", "http://10.0.0.3:9464"}));
    cr_assert(make_request(line, {}).path == "/vm/requests/r%201");
    expect_usage({"vm", "status", "--server", "http://10.0.0.1:9464,10.0.0.2"}, "http://HOST:PORT");
    expect_usage({"status", "--server", "http://10.0.0.1:1,http://10.0.0.2:1"}, "http://HOST:PORT");
}

// Guards against a search that stops at the first VM that does not know the request.
Test(cli, vm_request_one_of_three_knows_it_prints_its_lines)
{
    fake_client first;
    fake_client second;
    fake_client third;
    first.replies.push_back(reply_of(404, ""));
    second.replies.push_back(reply_of(200, "event=request request=1\n"));
    third.replies.push_back(reply_of(404, ""));
    const run_result found = run_on_three_vms(first, second, third);
    cr_assert(found.code == exit_code::done);
    cr_assert(found.out == "event=request request=1\n");
}

// Guards against reporting a request as unknown when one of the VMs could not be reached.
Test(cli, vm_request_unknown_or_vm_unreachable_exit_codes_differ)
{
    fake_client first;
    fake_client second;
    fake_client third;
    for (fake_client* client : {&first, &second, &third})
        client->replies.push_back(reply_of(404, ""));
    const run_result unknown = run_on_three_vms(first, second, third);
    cr_assert(unknown.code == exit_code::not_run);
    cr_assert(unknown.err.find("no VM that was asked") != std::string::npos);
    fake_client unreachable_vm;
    unreachable_vm.replies.emplace_back(not_run(reason::connect_failed, "refused"));
    fake_client fresh_first;
    fake_client fresh_second;
    fresh_first.replies.push_back(reply_of(404, ""));
    fresh_second.replies.push_back(reply_of(404, ""));
    cr_assert(run_on_three_vms(fresh_first, unreachable_vm, fresh_second).code ==
              exit_code::unreachable);
}

// Guards against a status that does not show why an endpoint receives no calls.
Test(cli, vm_status_shows_state_and_use)
{
    vm_report report;
    report.vm = "front-1";
    report.state = "ready";
    report.desired_version = 7;
    report.tables.push_back({"endpoints", 12, false, milliseconds(900), "front-2"});
    report.endpoints.push_back(
        {"e-1", "engines", "dom-a", "10.0.0.9:1", endpoint_use::failing, 3, 4.5});
    report.tables.push_back({"vms", 0, false, milliseconds(4140390), "store"});
    report.refusals["overloaded"] = 4;
    const std::string text = format_vm_status(web::json::value::parse(encode_report(report)));
    cr_assert(text.find("desired state version 7") != std::string::npos);
    cr_assert(text.find("failing") != std::string::npos);
    cr_assert(text.find("4140390") == std::string::npos, "a table that was never read has no age");
    cr_assert(text.find("NO") != std::string::npos);
    cr_assert(text.find("front-2") != std::string::npos, "the VM that the state comes from");
    cr_assert(text.find("refusals: overloaded 4") != std::string::npos);
}

// Guards against operators who cannot see which phase of a roll-out each VM follows.
Test(cli, vm_status_shows_rollouts)
{
    vm_report report;
    const auto text = [&]
    { return format_vm_status(web::json::value::parse(encode_report(report))); };
    cr_assert(text().find("ROLLOUT") == std::string::npos);
    report.rollouts.push_back({"reading", "v2", "ramp", milliseconds(4140)});
    const std::string shown = text();
    const std::size_t row = shown.find("reading", shown.find("ROLLOUT"));
    cr_assert(row != std::string::npos);
    const std::string line = shown.substr(row, shown.find('\n', row) - row);
    for (const char* const field : {"v2", "ramp", "4140"})
        cr_assert(line.find(field) != std::string::npos, "%s", line.c_str());
}
