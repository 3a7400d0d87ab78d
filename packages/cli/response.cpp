#include "cli/response.h"

#include <cpprest/json.h>

namespace zinnianotch
{

namespace
{

std::string string_member(const web::json::value& object, const std::string& name)
{
    if (!object.is_object() || !object.has_string_field(name))
        return {};
    return object.at(name).as_string();
}

std::optional<std::uint64_t> number_member(const web::json::value& object, const std::string& name)
{
    if (!object.is_object() || !object.has_field(name))
        return std::nullopt;
    const web::json::value& value = object.at(name);
    if (!value.is_number() || !value.as_number().is_uint64())
        return std::nullopt;
    return value.as_number().to_uint64();
}

// Parses the members of an error object. Returns false if it has no reason or no known verdict.
bool parse_error_object(const web::json::value& object, request_error& out)
{
    out.reason_name = string_member(object, "reason");
    out.message = string_member(object, "message");
    out.request_id = string_member(object, "request");
    out.current_version = number_member(object, "current_version");
    if (object.is_object() && object.has_array_field("problems"))
        for (const web::json::value& problem : object.at("problems").as_array())
            if (problem.is_string())
                out.problems.push_back(problem.as_string());
    return !out.reason_name.empty() && from_string(string_member(object, "verdict"), out.outcome);
}

std::string_view verdict_text(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not run";
    case verdict::may_have_run:
        return "may have run";
    case verdict::ran:
        return "ran";
    }
    return {};
}

// Example: "encode 12 ms, write 640 ms (2 attempts)".
std::string summarize_stages(const web::json::value& end)
{
    std::string text;
    if (!end.has_array_field("stages"))
        return text;
    for (const web::json::value& stage : end.at("stages").as_array())
    {
        text += text.empty() ? "" : ", ";
        text += string_member(stage, "name") + " " +
                std::to_string(number_member(stage, "ms").value_or(0)) + " ms";
        const std::uint64_t attempts = number_member(stage, "attempts").value_or(1);
        if (attempts > 1)
            text += " (" + std::to_string(attempts) + " attempts)";
    }
    return text;
}

} // namespace

request_error to_request_error(const client_reply& reply, request_effect effect)
{
    request_error out;
    std::error_code error;
    const web::json::value body = web::json::value::parse(reply.body, error);
    if (!error && body.is_object() && body.has_object_field("error") &&
        parse_error_object(body.at("error"), out))
        return out;
    out = {};
    out.reason_name = "http_status_" + std::to_string(reply.status);
    out.outcome = effect == request_effect::read_only ? verdict::not_run : verdict::may_have_run;
    out.message = "the response is not from zinnianotch; check the server address";
    return out;
}

request_error to_request_error(const failure& failed, request_effect effect)
{
    request_error out;
    out.reason_name = to_string(failed.why);
    out.message = failed.detail;
    const bool read_only = effect == request_effect::read_only;
    out.outcome = read_only ? verdict::not_run : failed.outcome;
    out.unreachable = out.outcome == verdict::not_run;
    return out;
}

exit_code exit_code_of(const request_error& error)
{
    if (error.unreachable)
        return exit_code::unreachable;
    if (error.reason_name == to_string(reason::invalid_configuration))
        return exit_code::usage;
    return error.outcome == verdict::not_run ? exit_code::not_run : exit_code::may_have_run;
}

std::string describe(const request_error& error)
{
    std::string text = error.unreachable ? "server not reachable: " : "failed: ";
    text += error.reason_name + " (" + std::string(verdict_text(error.outcome)) + ")";
    if (!error.message.empty())
        text += ": " + error.message;
    if (!error.request_id.empty())
        text += " [request " + error.request_id + "]";
    text += "\n";
    for (const std::string& problem : error.problems)
        text += "  " + problem + "\n";
    if (error.current_version)
        text += "  version in effect: " + std::to_string(*error.current_version) + "\n";
    return text;
}

std::string to_json(const request_error& error)
{
    web::json::value body = web::json::value::object(true);
    body["reason"] = web::json::value::string(error.reason_name);
    body["verdict"] = web::json::value::string(std::string(to_string(error.outcome)));
    body["message"] = web::json::value::string(error.message);
    body["request"] = web::json::value::string(error.request_id);
    if (!error.problems.empty())
    {
        web::json::value problems = web::json::value::array();
        for (std::size_t i = 0; i < error.problems.size(); ++i)
            problems[i] = web::json::value::string(error.problems[i]);
        body["problems"] = problems;
    }
    if (error.current_version)
        body["current_version"] = web::json::value::number(*error.current_version);
    web::json::value out = web::json::value::object();
    out["error"] = body;
    return out.serialize();
}

std::string pipeline_response_reader::parse_line(std::string_view line)
{
    if (finished_)
        return reject(reason::answer_mismatch, "the response continues after its final line");
    std::error_code error;
    const web::json::value object = web::json::value::parse(std::string(line), error);
    const std::string type = error ? "" : string_member(object, "type");
    if (type == "token" && object.has_string_field("text"))
    {
        if (number_member(object, "index") != next_token_index_)
            return reject(reason::token_gap,
                          "token " + std::to_string(next_token_index_) + " is missing or repeated");
        ++next_token_index_;
        return object.at("text").as_string();
    }
    if (type == "end")
    {
        if (number_member(object, "tokens") != next_token_index_)
            return reject(reason::token_gap,
                          "the token count of the final line does not match the tokens received");
        finished_ = true;
        complete_ = true;
        stage_summary_ = summarize_stages(object);
        return {};
    }
    request_error parsed;
    if (type != "error" || !parse_error_object(object, parsed))
        return reject(reason::answer_mismatch, "invalid line in the response");
    finished_ = true;
    error_ = std::move(parsed);
    return {};
}

std::optional<request_error> pipeline_response_reader::error() const
{
    if (error_ || complete_)
        return error_;
    request_error truncated;
    truncated.reason_name = to_string(reason::connection_broken);
    truncated.message =
        "the response was cut after " + std::to_string(next_token_index_) + " tokens";
    return truncated;
}

std::string pipeline_response_reader::reject(reason why, std::string message)
{
    finished_ = true;
    complete_ = false;
    error_ = request_error{};
    error_->reason_name = to_string(why);
    error_->message = std::move(message);
    return {};
}

} // namespace zinnianotch
