#include "cli/answer.h"

#include <cpprest/json.h>

namespace zinnianotch
{

namespace
{

std::string text_member(const web::json::value& object, const std::string& name)
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

// Reads the members of an error; false when it lacks the reason or a known verdict.
bool read_members(const web::json::value& object, server_error& out)
{
    out.why = text_member(object, "reason");
    out.message = text_member(object, "message");
    out.request = text_member(object, "request");
    out.current_version = number_member(object, "current_version");
    if (object.is_object() && object.has_array_field("problems"))
        for (const web::json::value& problem : object.at("problems").as_array())
            if (problem.is_string())
                out.problems.push_back(problem.as_string());
    return !out.why.empty() && from_string(text_member(object, "verdict"), out.outcome);
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

// "encode 12 ms, write 640 ms (2 attempts)"
std::string stage_summary(const web::json::value& end)
{
    std::string text;
    if (!end.has_array_field("stages"))
        return text;
    for (const web::json::value& stage : end.at("stages").as_array())
    {
        text += text.empty() ? "" : ", ";
        text += text_member(stage, "name") + " " +
                std::to_string(number_member(stage, "ms").value_or(0)) + " ms";
        const std::uint64_t attempts = number_member(stage, "attempts").value_or(1);
        if (attempts > 1)
            text += " (" + std::to_string(attempts) + " attempts)";
    }
    return text;
}

} // namespace

server_error read_error(const client_reply& reply, request_effect effect)
{
    server_error out;
    std::error_code error;
    const web::json::value body = web::json::value::parse(reply.body, error);
    if (!error && body.is_object() && body.has_object_field("error") &&
        read_members(body.at("error"), out))
        return out;
    out = {};
    out.why = "http_status_" + std::to_string(reply.status);
    out.outcome = effect == request_effect::reads ? verdict::not_run : verdict::may_have_run;
    out.message = "the answer is not one of zinnianotch; is the server's address right?";
    return out;
}

server_error read_error(const failure& failed, request_effect effect)
{
    server_error out;
    out.why = to_string(failed.why);
    out.message = failed.detail;
    const bool reads = effect == request_effect::reads;
    out.outcome = reads ? verdict::not_run : failed.outcome;
    out.unreachable = out.outcome == verdict::not_run;
    return out;
}

exit_code exit_code_of(const server_error& error)
{
    if (error.unreachable)
        return exit_code::unreachable;
    if (error.why == to_string(reason::invalid_configuration))
        return exit_code::usage;
    return error.outcome == verdict::not_run ? exit_code::not_run : exit_code::may_have_run;
}

std::string describe(const server_error& error)
{
    std::string text = error.unreachable ? "server not reachable: " : "failed: ";
    text += error.why + " (" + std::string(verdict_text(error.outcome)) + ")";
    if (!error.message.empty())
        text += ": " + error.message;
    if (!error.request.empty())
        text += " [request " + error.request + "]";
    text += "\n";
    for (const std::string& problem : error.problems)
        text += "  " + problem + "\n";
    if (error.current_version)
        text += "  version in effect: " + std::to_string(*error.current_version) + "\n";
    return text;
}

std::string to_json(const server_error& error)
{
    web::json::value body = web::json::value::object(true);
    body["reason"] = web::json::value::string(error.why);
    body["verdict"] = web::json::value::string(std::string(to_string(error.outcome)));
    body["message"] = web::json::value::string(error.message);
    body["request"] = web::json::value::string(error.request);
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

std::string answer_reader::take(std::string_view line)
{
    if (finished_)
        return reject(reason::answer_mismatch, "the answer goes on after its last line");
    std::error_code error;
    const web::json::value object = web::json::value::parse(std::string(line), error);
    const std::string type = error ? "" : text_member(object, "type");
    if (type == "token" && object.has_string_field("text"))
    {
        if (number_member(object, "index") != next_index_)
            return reject(reason::token_gap,
                          "token " + std::to_string(next_index_) + " is missing or repeated");
        ++next_index_;
        return object.at("text").as_string();
    }
    if (type == "end")
    {
        if (number_member(object, "tokens") != next_index_)
            return reject(reason::token_gap, "the end does not name the number of tokens received");
        finished_ = true;
        whole_ = true;
        stages_ = stage_summary(object);
        return {};
    }
    server_error failed;
    if (type != "error" || !read_members(object, failed))
        return reject(reason::answer_mismatch, "a line of the answer is not in the known form");
    finished_ = true;
    error_ = std::move(failed);
    return {};
}

std::optional<server_error> answer_reader::error() const
{
    if (error_ || whole_)
        return error_;
    server_error cut;
    cut.why = to_string(reason::connection_broken);
    cut.message = "the answer was cut after " + std::to_string(next_index_) + " tokens";
    return cut;
}

std::string answer_reader::reject(reason why, std::string message)
{
    finished_ = true;
    whole_ = false;
    error_ = server_error{};
    error_->why = to_string(why);
    error_->message = std::move(message);
    return {};
}

} // namespace zinnianotch
